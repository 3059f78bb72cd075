package place

// answers is how long the whole answers of a route take, in ms at the usual speed for each token of
// output that the request allows.
type answers struct {
	// whole is the distribution at the usual number of calls, growth how it grows with their number.
	whole  spread
	growth growth
}

// answersOf returns what is known of a route's answers.
func (pa *pace) answersOf(route string) *answers {
	an := pa.byRoute[route]
	if an == nil {
		if pa.byRoute == nil {
			pa.byRoute = map[string]*answers{}
		}
		an = &answers{}
		pa.byRoute[route] = an
	}
	return an
}

// knownAnswers returns what is known of a route's answers or, if that is too little, of all.
func (pa *pace) knownAnswers(route string) *answers {
	if an := pa.byRoute[route]; an != nil && an.whole.count >= minSpreadSamples {
		return an
	}
	return &pa.all
}

func (an *answers) add(calls, perToken float64) {
	an.whole.add(perToken / an.growth.factor(calls))
	an.growth.add(calls, perToken)
}

// above returns the probability of a longer answer at an engine with that many calls.
func (an *answers) above(calls, perToken float64) float64 {
	return an.whole.above(perToken / an.growth.factor(calls))
}

const (
	// growthDecay is the weight of past calls at each further one, so that the last few hundred
	// count.
	growthDecay = 0.995
	// minGrowth and maxGrowth bound the factor: the line is not known far beyond the observed
	// numbers of calls.
	minGrowth, maxGrowth = 0.25, 4
)

// growth is the line, fitted by least squares, of a duration over the number of calls at the engine.
type growth struct{ weight, calls, took, squares, products float64 }

func (gr *growth) add(calls, took float64) { gr.addDecayed(growthDecay, calls, took) }

// addDecayed is add with another weight of past samples.
func (gr *growth) addDecayed(decay, calls, took float64) {
	gr.weight = decay*gr.weight + 1
	gr.calls = decay*gr.calls + calls
	gr.took = decay*gr.took + took
	gr.squares = decay*gr.squares + calls*calls
	gr.products = decay*gr.products + calls*took
}

// factor returns the duration at an engine with that many calls, relative to that at the mean.
func (gr *growth) factor(calls float64) float64 {
	if gr.weight < minSpreadSamples || gr.took <= 0 {
		return 1
	}
	mean, took := gr.calls/gr.weight, gr.took/gr.weight
	variance := gr.squares/gr.weight - mean*mean
	if variance < 1 {
		return 1 // all had about the same number of calls
	}
	slope := max(0, (gr.products/gr.weight-mean*took)/variance)
	return min(maxGrowth, max(minGrowth, 1+slope*(calls-mean)/took))
}
