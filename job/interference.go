package job

import "ambertiller.example/ambertiller/interference"

// NewInterference returns the message for the estimate of a pair of images.
func NewInterference(pair interference.Pair, estimate interference.Estimate) *Interference {
	return &Interference{Serving: pair.Serving, Fill: pair.Fill, Weight: estimate.Weight, Readings: int32(estimate.Readings)}
}

// Pair returns the images that the estimate is for.
func (message *Interference) Pair() interference.Pair {
	return interference.Pair{Serving: message.GetServing(), Fill: message.GetFill()}
}

// Estimate returns the estimate for the pair.
func (message *Interference) Estimate() interference.Estimate {
	return interference.Estimate{Weight: message.GetWeight(), Readings: int(message.GetReadings())}
}
