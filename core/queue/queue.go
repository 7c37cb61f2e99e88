// Package queue implements the bounded priority queue of requests that wait for
// a slot of a service.
//
// Requests are served by urgency, then by earliest deadline, then in order of arrival.
//
// # Usage
//
//	q := queue.New(256)
//	if displaced, full, _ := q.Push(queue.Item{Request: 1, Deadline: deadline}); full {
//		refuse(displaced.Request)
//	}
//	if item, ok := q.Pop(); ok {
//		serve(item.Request)
//	}
package queue

import (
	"container/heap"
	"time"

	"bronzestair/core/service"
)

// Item is a queued request.
type Item struct {
	Request  uint64
	Urgency  service.Urgency
	Deadline time.Time
	// sequence is the position in the order of arrival, set by Push.
	sequence uint64
}

// before reports whether a is served before b.
func (a Item) before(b Item) bool {
	if a.Urgency != b.Urgency {
		return a.Urgency < b.Urgency
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.sequence < b.sequence
}

// Queue is a bounded priority queue. The zero value has a limit of 0.
type Queue struct {
	items itemHeap
	limit int
	// lastSequence is the sequence number of the last item that was pushed.
	lastSequence uint64
}

// New returns an empty queue that holds at most limit items.
func New(limit int) *Queue { return &Queue{limit: limit} }

// Len returns the number of queued items.
func (q *Queue) Len() int { return len(q.items) }

// SetLimit changes the limit. Items over the new limit stay queued.
func (q *Queue) SetLimit(limit int) { q.limit = limit }

// Push adds an item. If the queue is full, it returns the item that has no place
// as displaced: the item that would be served last if that is less urgent than the
// new one, otherwise the new item itself. added reports whether the new item was
// added.
func (q *Queue) Push(item Item) (displaced Item, full, added bool) {
	q.lastSequence++
	item.sequence = q.lastSequence
	if len(q.items) < q.limit {
		heap.Push(&q.items, item)
		return Item{}, false, true
	}
	last := q.lowestPriority()
	if last < 0 || item.Urgency >= q.items[last].Urgency {
		return item, true, false
	}
	displaced = heap.Remove(&q.items, last).(Item)
	heap.Push(&q.items, item)
	return displaced, true, true
}

// Pop removes and returns the item to serve next.
func (q *Queue) Pop() (Item, bool) {
	if len(q.items) == 0 {
		return Item{}, false
	}
	return heap.Pop(&q.items).(Item), true
}

// Remove removes the item of a request and reports whether it was queued.
func (q *Queue) Remove(request uint64) bool {
	for i := range q.items {
		if q.items[i].Request == request {
			heap.Remove(&q.items, i)
			return true
		}
	}
	return false
}

// Ahead returns the number of queued items that would be served before item, if
// it were pushed now.
func (q *Queue) Ahead(item Item) int {
	item.sequence = q.lastSequence + 1
	n := 0
	for i := range q.items {
		if q.items[i].before(item) {
			n++
		}
	}
	return n
}

// lowestPriority returns the index of the item to be served last, or -1 if the
// queue is empty.
func (q *Queue) lowestPriority() int {
	last := -1
	for i := range q.items {
		if last < 0 || q.items[last].before(q.items[i]) {
			last = i
		}
	}
	return last
}

// itemHeap implements heap.Interface.
type itemHeap []Item

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h itemHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *itemHeap) Push(x any)        { *h = append(*h, x.(Item)) }
func (h *itemHeap) Pop() any {
	old := *h
	n := len(old) - 1
	item := old[n]
	*h = old[:n]
	return item
}
