package capacity

import "math"

// Sample is one measured point of a series.
type Sample struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Fit is the straight line through the samples of a series by least squares.
type Fit struct {
	// Slope and Intercept define the line y = Slope*x + Intercept.
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Residual is the root mean square distance of the samples from the line, in y.
	Residual float64 `json:"residual"`
	// Relative is Residual as a share of the absolute mean of y.
	Relative float64 `json:"relative"`
}

// At returns the line's value at x.
func (f Fit) At(x float64) float64 { return f.Slope*x + f.Intercept }

// FitLine fits a line to samples, of which at least two must differ in x.
func FitLine(samples []Sample) Fit {
	n := float64(len(samples))
	var sumX, sumY float64
	for _, s := range samples {
		sumX += s.X
		sumY += s.Y
	}
	meanX, meanY := sumX/n, sumY/n
	var varX, covXY float64
	for _, s := range samples {
		varX += (s.X - meanX) * (s.X - meanX)
		covXY += (s.X - meanX) * (s.Y - meanY)
	}
	f := Fit{Slope: covXY / varX}
	f.Intercept = meanY - f.Slope*meanX
	var squares float64
	for _, s := range samples {
		squares += math.Pow(s.Y-f.At(s.X), 2)
	}
	f.Residual = math.Sqrt(squares / n)
	if meanY != 0 {
		f.Relative = f.Residual / math.Abs(meanY)
	}
	return f
}
