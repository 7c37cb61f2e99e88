package manager

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"bronzestair/core/job"
	"bronzestair/core/table"
)

// jobParts is over how many parts the jobs of a queue are spread. It answers a turn
// while the store is slow: one part takes a transaction at a time, each of some 30
// jobs, and some 100 jobs a second come by one queue.
const jobParts = 8

// jobPart returns the part in which all rows of a job lie.
func jobPart(queue job.QueueName, id job.ID) string {
	return string(queue) + "/" + strconv.FormatUint(xxhash.Sum64String(string(id))%jobParts, 10)
}

// jobKey returns where a table keeps a job.
func jobKey(name string, queue job.QueueName, id job.ID) table.Key {
	return table.Key{Table: name, Part: jobPart(queue, id), Name: string(id)}
}
