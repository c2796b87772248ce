package overload

import "time"

// Request describes a job whose caller asks for admission.
type Request struct {
	ID string
	// Pool names the jobs that this one competes with for workers, see [PoolName].
	Pool  string
	Queue string
	// CoreMs is the estimated work, in ms of one core.
	CoreMs int64
	// End is the forecast time until the job ends if it is admitted now. Useful is the time until its end is of no
	// use any more.
	End, Useful time.Duration
	// DrainedCoreMsPerS is the rate at which all owners' work of the pool is done. Share is the part of it that the
	// jobs of this table may use.
	DrainedCoreMsPerS, Share float64
}

// drainTime returns how long the workers take for an amount of work at the full rate of the pool. It is the time by
// which the work of a job delays the job's own end.
func (request *Request) drainTime(coreMs float64) time.Duration {
	return time.Duration(coreMs / request.DrainedCoreMsPerS * float64(time.Second))
}

// sharedDrainTime returns how long the workers take for work of this table's jobs at this table's share of the rate.
func (request *Request) sharedDrainTime(coreMs float64) time.Duration {
	return time.Duration(coreMs / (request.DrainedCoreMsPerS * request.Share) * float64(time.Second))
}

// otherOwnersReserve returns the time reserved for jobs that other owners admit before forecasts include them. Their
// work is estimated by that of this table's jobs, which may be too little by chance.
func (request *Request) otherOwnersReserve() time.Duration {
	return time.Duration(float64(reportDelay) * (1 - min(request.Share, 1)))
}
