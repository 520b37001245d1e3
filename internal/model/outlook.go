package model

// outlook is a forecast that is being made.
type outlook struct {
	*Schedule
	further *Task

	tasks   []*Task
	left    []float64
	order   []int // of reading
	read    []float64
	time    float64
	longest float64
	writers int
	context int
	writes  bool
}

func (o *outlook) run() Forecast {
	o.prepare()
	for range maxPasses {
		if len(o.order) == 0 {
			break
		}
		o.pass()
	}
	for _, i := range o.order {
		o.read[i] = o.time + o.left[i]*o.slow()
	}
	return Forecast{Read: o.read, Longest: o.longest, Writes: o.writes}
}

// prepare ends the current pass, and the next one if a further task would come too late for it.
func (o *outlook) prepare() {
	o.tasks = o.Tasks
	o.left = make([]float64, len(o.tasks), len(o.tasks)+1)
	o.read = make([]float64, len(o.tasks), len(o.tasks)+1)
	o.time = max(0, o.end-o.at)
	for i, t := range o.tasks {
		o.left[i] = t.Left - t.taken
		if t.Left > 0 && o.left[i] < tiny {
			o.read[i] = o.time
		}
		if o.left[i] < tiny {
			o.left[i] = 0
			o.wrote(t)
		}
	}
	o.line()
	if o.further == nil {
		return
	}
	if o.writers > 0 && o.time < reachTime {
		o.pass()
	}
	o.tasks = append(o.tasks[:len(o.tasks):len(o.tasks)], o.further)
	o.left = append(o.left, o.further.Left)
	o.read = append(o.read, 0)
	o.line()
}

// line puts what is left to read in order.
func (o *outlook) line() {
	o.order = o.order[:0]
	for i := len(o.tasks) - 1; i >= 0; i-- {
		if o.tasks[i].Helper && o.left[i] > 0 {
			o.order = append(o.order, i)
		}
	}
	for i, t := range o.tasks {
		if !t.Helper && o.left[i] > 0 {
			o.order = append(o.order, i)
		}
	}
}

// wrote counts the answer to a task that is read.
func (o *outlook) wrote(t *Task) {
	if !t.Helper {
		o.writers++
		o.context += t.Tokens
	}
}

// pass reads the first task, or without answers all that a pass has room for.
func (o *outlook) pass() {
	if o.writers == 0 {
		i := o.order[0]
		o.time += o.left[i] * o.slow()
		o.left[i] = 0
		o.done()
		return
	}
	length := o.Engine.WriteTime(o.writers, o.context)
	tokens := o.Engine.PassTokens()
	for _, i := range o.order {
		if tokens <= 0 {
			break
		}
		var taken float64
		taken, tokens = o.tasks[i].fit(o.left[i], tokens)
		o.left[i] -= taken
		length += taken
	}
	length *= o.slow()
	o.time += length
	o.longest = max(o.longest, length)
	o.done()
}

// done takes what is read out of the order.
func (o *outlook) done() {
	rest := o.order[:0]
	for _, i := range o.order {
		if o.left[i] >= tiny {
			rest = append(rest, i)
			continue
		}
		o.left[i] = 0
		o.read[i] = o.time
		if o.tasks[i] == o.further {
			o.writes = o.writers > 0
		}
		o.wrote(o.tasks[i])
	}
	o.order = rest
}
