// Oslo: model work outranks portal lookups; students who wait at a lecture go before editors' drafts.
// Long lecture prompts are costly to redo: the platform document sets seat_certainty high.

fn rank(request, now) {
  if request.kind == "service" {
    return #{ class: "portal", priority: 0, may_wait: true, weight: 1.0, first_token_ms: 3000 };
  }
  switch request.task {
    "question" => #{ class: "question", priority: 20, first_token_ms: 1400 },
    "summary" => #{ class: "summary", priority: 10, may_wait: true, weight: 2.0, first_token_ms: 8000 },
    "quiz" => #{ class: "quiz", priority: 10, may_wait: true, weight: 1.0, first_token_ms: 8000 },
    _ => #{ class: "other", priority: 5, may_wait: true, weight: 0.5, first_token_ms: 4000 },
  }
}

// Mornings read new lectures; from noon on students ask short questions.
fn shift(now, pools) {
  let wanted = #{};
  for pool in pools {
    let share = if now.hour >= 7 && now.hour < 12 { 0.5 } else { 0.34 };
    if pool.seats_used > 0.95 { share -= 0.1; }
    wanted[pool.model] = share;
  }
  wanted
}
