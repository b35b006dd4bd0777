// Model work outranks lookups; short prompts go before long ones while people work.
fn rank(request, now) {
  if request.kind == "service" {
    return #{ class: "lookup", priority: 3 };
  }
  let short = request.prompt_tokens < 4000;
  let at_work = now.hour >= 8 && now.hour < 18;
  #{ class: "model", priority: if short && at_work { 9 } else { 8 }, first_token_ms: 900 }
}

// Streams run for seconds: a quarter of the engines reads prompts, somewhat more in the morning.
fn shift(now, pools) {
  let wanted = #{};
  for pool in pools {
    wanted[pool.model] = if now.hour >= 7 && now.hour < 12 { 0.3 } else { 0.25 };
  }
  wanted
}
