package flow

// modulo decides by the flow's hash modulo the number of endpoints that take new
// flows, without state. It is the baseline to which measurements compare placement.
func (e *Engine) modulo(v Verdict) Verdict {
	var live []uint32
	for _, id := range v.service.Endpoints() {
		if endpoint := e.view.Table.Endpoint(id); endpoint != nil && !endpoint.Leaving() {
			live = append(live, id)
		}
	}
	if len(live) == 0 {
		v.action, v.reason = Drop, NoEndpoint
		return v
	}
	return e.send(v, e.view.Table.Endpoint(live[v.id.Low%uint64(len(live))]), BySettled)
}
