// Sariwa: checkout and slot booking never wait behind drafts; drafts may wait a little.

fn rank(request, now) {
  if request.kind == "service" {
    return #{ class: "storefront", priority: 100, first_token_ms: 300 };
  }
  switch request.task {
    "refund" => #{ class: "refund", priority: 20, first_token_ms: 1400 },
    "substitution" => #{ class: "substitution", priority: 10, may_wait: true, weight: 2.0, first_token_ms: 1400 },
    "basket" => #{ class: "basket", priority: 10, may_wait: true, weight: 1.0, first_token_ms: 1400 },
    _ => #{ class: "other", priority: 5, may_wait: true, weight: 0.5, first_token_ms: 1400 },
  }
}

fn shift(now, pools) {
  let wanted = #{};
  for pool in pools {
    wanted[pool.model] = if now.hour >= 8 && now.hour < 20 { 0.3 } else { 0.25 };
  }
  wanted
}
