package job

import "ambertiller.example/ambertiller/interference"

// NewInterference returns the message that tells what is known of a pair of images.
func NewInterference(pair interference.Pair, known interference.Estimate) *Interference {
	return &Interference{Serving: pair.Serving, Fill: pair.Fill, Weight: known.Weight, Readings: int32(known.Readings)}
}

// Pair returns the images that the message is about.
func (told *Interference) Pair() interference.Pair {
	return interference.Pair{Serving: told.GetServing(), Fill: told.GetFill()}
}

// Estimate returns what the message tells of them.
func (told *Interference) Estimate() interference.Estimate {
	return interference.Estimate{Weight: told.GetWeight(), Readings: int(told.GetReadings())}
}
