package flow

// modulo is the baseline with which placement is compared: the flow's hash modulo
// the endpoints that take new flows, without state. Only reports use it.
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
