package scheduler

// answerQuantile is the quantile of the learned answer lengths that a request is
// expected to take in an engine's memory. Engines that run out of memory preempt
// requests and read them again, so that the sum over an engine's requests has to hold
// most of the time; the longest possible answers of all of them together are rare.
const answerQuantile = 0.9

// occupancy counts the tokens that attempts take in an engine's memory. Parts of
// prompts that several attempts share are kept once by the engine and count once. The
// zero value is empty.
type occupancy struct {
	parts  map[uint64]occupied
	tokens int
}

// occupied is a part of a prompt in an engine's memory.
type occupied struct{ uses, tokens int }

// sizedParts are the parts of a prompt whose sizes are known: their hashes, and the
// number of prompt tokens up to the end of each.
type sizedParts struct {
	hashes []uint64
	ends   []int
}

// sizedParts returns the parts of the request's prompt whose sizes are known.
func (r *request) sizedParts() sizedParts {
	n := min(len(r.Prefix), len(r.Ends))
	return sizedParts{r.Prefix[:n], r.Ends[:n]}
}

// size returns the number of tokens of part i.
func (p sizedParts) size(i int) int {
	if i == 0 {
		return p.ends[0]
	}
	return p.ends[i] - p.ends[i-1]
}

// end returns the number of prompt tokens up to the end of the last part.
func (p sizedParts) end() int {
	if len(p.ends) == 0 {
		return 0
	}
	return p.ends[len(p.ends)-1]
}

// add counts an attempt with the given parts, and with own tokens besides these.
func (o *occupancy) add(parts sizedParts, own int) {
	if o.parts == nil {
		o.parts = map[uint64]occupied{}
	}
	o.tokens += own
	for i, h := range parts.hashes {
		p := o.parts[h]
		if p.uses == 0 {
			p.tokens = parts.size(i)
			o.tokens += p.tokens
		}
		p.uses++
		o.parts[h] = p
	}
}

// remove reverses add.
func (o *occupancy) remove(parts sizedParts, own int) {
	o.tokens -= own
	for _, h := range parts.hashes {
		p := o.parts[h]
		if p.uses--; p.uses > 0 {
			o.parts[h] = p
			continue
		}
		o.tokens -= p.tokens
		delete(o.parts, h)
	}
}

// missing returns the number of tokens of the parts that no attempt has in the engine's
// memory.
func (o *occupancy) missing(parts sizedParts) int {
	sum := 0
	for i, h := range parts.hashes {
		if o.parts[h].uses == 0 {
			sum += parts.size(i)
		}
	}
	return sum
}

// expectedAnswer returns the length that an answer which has the given number of tokens
// is not expected to exceed: the request's limit, or without one the learned length. The
// learned lengths don't lower a limit, because streams are counted in events, which may
// hold several tokens each.
func (s *Scheduler) expectedAnswer(r *request, tokens int) int {
	if r.Limit > 0 {
		return max(r.Limit, tokens)
	}
	n := s.estimator.Output(r.Class, r.Request.Organisation, answerQuantile)
	if n <= tokens {
		n = tokens + s.estimator.Remaining(r.Class, r.Request.Organisation, tokens)
	}
	return n
}

// ownTokens returns the tokens that only this request takes in an engine's memory: an
// answer of the given length, and the end of its prompt that is in no part.
func (r *request) ownTokens(answer int) int {
	return max(r.Prompt-r.sizedParts().end(), 0) + answer
}

// memoryLimit returns the number of tokens that attempts may take in the memory of an
// engine of the pool.
func (s *Scheduler) memoryLimit(p *pool) int {
	return int(memoryShare * float64(s.memory[p.name]) / float64(s.hosts))
}

// fits reports whether the engine has enough memory for a request that takes own tokens
// besides the parts of its prompt. An engine without attempts accepts any request.
func (s *Scheduler) fits(u *upstream, r *request, own int) bool {
	if len(u.attempts) == 0 {
		return true
	}
	return u.occupancy.tokens+u.occupancy.missing(r.sizedParts())+own <= s.memoryLimit(r.pool)
}

// occupy counts an attempt in its engine's memory.
func (s *Scheduler) occupy(a *attempt) {
	a.answer = s.expectedAnswer(a.request, a.request.Emitted)
	a.memory, a.parts = a.request.ownTokens(a.answer), a.request.sizedParts()
	a.upstream.occupancy.add(a.parts, a.memory)
	a.context = a.request.Prompt + a.request.Limit
	a.upstream.context += a.context
}

// vacate removes an attempt that ended from its engine's memory.
func (a *attempt) vacate() {
	a.upstream.occupancy.remove(a.parts, a.memory)
	a.upstream.context -= a.context
	a.memory, a.context, a.parts = 0, 0, sizedParts{}
}

// extend counts the further tokens of an answer that became longer than expected.
func (s *Scheduler) extend(a *attempt) {
	tokens := a.request.Emitted + a.tokens
	if a.memory == 0 || tokens <= a.answer {
		return
	}
	n := s.expectedAnswer(a.request, tokens)
	a.upstream.occupancy.tokens += n - a.answer
	a.memory += n - a.answer
	a.answer = n
}
