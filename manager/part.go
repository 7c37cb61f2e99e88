package manager

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"bronzestair/core/job"
	"bronzestair/core/table"
)

// jobParts is the number of parts over which the jobs of a queue are spread. One part
// would not keep up with a burst on one queue while the store is slow: a part commits
// one transaction of about 30 jobs at a time, and about 100 jobs per second arrive.
const jobParts = 8

// jobPart returns the part that holds all rows of a job.
func jobPart(queue job.QueueName, id job.ID) string {
	return string(queue) + "/" + strconv.FormatUint(xxhash.Sum64String(string(id))%jobParts, 10)
}

// jobKey returns the key of a job's row in a table.
func jobKey(name string, queue job.QueueName, id job.ID) table.Key {
	return table.Key{Table: name, Part: jobPart(queue, id), Name: string(id)}
}
