//! The demo: everything as processes of its own, used, broken, and looked at.

use {
  crate::{
    ADMIN_KEY, Ask, Authority, BoxProcess, CALLER_KEY, Caller, HallPlan, ORGANISATION, Plan,
    ShownList, Told, answer_text,
    deployment::{PlatformUrls, place_box},
    eventually, own_addresses,
  },
  http::{Method, Request},
  http_body_util::Full,
  rillford::{configuration::hash_key, decide::BoxEntry, store::KeyValueClient},
  std::{
    env, io,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    time::Duration,
  },
  tempfile::TempDir,
};

const HALLS: [&str; 2] = ["north", "south"];
const LIMIT: Duration = Duration::from_secs(20);
const TOKENS: u64 = 40;

/// A stand-in as a process of its own.
struct StandIn {
  child: Child,
  url: String,
}

impl Drop for StandIn {
  fn drop(&mut self) {
    let _ = self.child.kill();
    let _ = self.child.wait();
  }
}

fn stand_in(arguments: &[&str]) -> io::Result<StandIn> {
  let [address] = own_addresses();
  let child = Command::new(env::current_exe()?)
    .args(arguments)
    .arg("--listen")
    .arg(address.to_string())
    .stdin(Stdio::null())
    .stdout(Stdio::null())
    .spawn()?;
  Ok(StandIn {
    child,
    url: format!("http://{address}"),
  })
}

/// Everything that the demo has brought up.
struct Stage {
  program: PathBuf,
  key_value: StandIn,
  box_list: StandIn,
  endpoints: Vec<StandIn>,
  boxes: Vec<(String, BoxProcess)>,
  _folder: TempDir,
}

/// The program given, or the one beside this.
pub(crate) fn beside(program: Option<PathBuf>) -> io::Result<PathBuf> {
  let program = match program {
    Some(program) => program,
    None => env::current_exe()?.with_file_name("rillford"),
  };
  if program.exists() {
    return Ok(program);
  }
  let message = format!(
    "{} is not there: run `cargo build --workspace` first",
    program.display()
  );
  Err(io::Error::other(message))
}

/// Runs the demo.
pub(crate) fn run(program: Option<PathBuf>) -> io::Result<()> {
  let program = beside(program)?;
  tokio::runtime::Builder::new_current_thread()
    .enable_all()
    .build()?
    .block_on(async { show(&program).await })
}

async fn show(program: &Path) -> io::Result<()> {
  let mut stage = set_up(program)?;
  configure(&stage).await?;
  for (_, process) in &mut stage.boxes {
    process.start(program)?;
  }
  let caller = Caller::new(CALLER_KEY);
  wait_until_serving(&stage, &caller).await?;
  println!(
    "== {} stand-ins and {} boxes over {} halls are up",
    stage.endpoints.len() + 2,
    stage.boxes.len(),
    HALLS.len()
  );
  use_boxes(&stage, &caller).await?;
  lose_a_box(&mut stage, &caller).await?;
  time_line(&stage)
}

fn set_up(program: &Path) -> io::Result<Stage> {
  let folder = tempfile::tempdir()?;
  let key_value = stand_in(&["key-value"])?;
  let box_list = stand_in(&["box-list"])?;
  let mut endpoints = Vec::new();
  let mut sections = String::new();
  for hall in HALLS {
    let prefill = stand_in(&["engine", "--prefill"])?;
    let decode = stand_in(&["engine"])?;
    let service = stand_in(&["service"])?;
    sections.push_str(&engine_section(hall, "prefill", &prefill.url));
    sections.push_str(&engine_section(hall, "decode", &decode.url));
    sections.push_str(&service_section(hall, &service.url));
    endpoints.extend([prefill, decode, service]);
  }
  let mut plan = Plan::new(program, vec![HallPlan::small("north", &[])]);
  plan.more_settings = "[limits]\nbalancer_lag_ms = 500\n".into();
  let urls = PlatformUrls {
    box_list: format!("{}/boxes", box_list.url),
    key_value: key_value.url.clone(),
  };
  let authority = Authority::new()?;
  let mut boxes = Vec::new();
  for (name, hall) in [
    ("north-1", "north"),
    ("north-2", "north"),
    ("south-1", "south"),
  ] {
    authority.issue(folder.path(), name)?;
    let process = place_box(&folder, &plan, hall, name, &urls, &sections)?;
    boxes.push((name.to_string(), process));
  }
  Ok(Stage {
    _folder: folder,
    box_list,
    boxes,
    endpoints,
    key_value,
    program: program.into(),
  })
}

fn engine_section(hall: &str, role: &str, url: &str) -> String {
  format!(
    "\n[[endpoint]]\nname = \"{hall}-{role}-1\"\nhall = \"{hall}\"\nkind = \"engine\"\n\
     role = \"{role}\"\nmodels = [\"lecture\"]\nurl = \"{url}\"\nseats = 16\n\
     checks_fence = true\nprefill_tokens_per_s = 100000\n"
  )
}

fn service_section(hall: &str, url: &str) -> String {
  format!(
    "\n[[endpoint]]\nname = \"{hall}-portal-1\"\nhall = \"{hall}\"\nkind = \"service\"\n\
     service = \"portal\"\nurl = \"{url}\"\nseats = 32\n"
  )
}

/// Writes the first configuration and the box list, as the platform's operators would.
async fn configure(stage: &Stage) -> io::Result<()> {
  let service = KeyValueClient::new(
    &stage.key_value.url,
    Duration::from_secs(1),
    Arc::new(|| {}),
  );
  let up = eventually(LIMIT, async || service.get("x").await.is_ok()).await;
  if !up {
    return Err(io::Error::other("the key-value stand-in did not start"));
  }
  let organisation = format!("{{\"keys_sha256\": [\"{}\"]}}", hash_key(CALLER_KEY));
  let documents = [
    ("platform".to_string(), "{}".to_string()),
    (format!("organisations/{ORGANISATION}"), organisation),
  ];
  for (key, text) in documents {
    let key = format!("rillford/configuration/{key}");
    service
      .compare_and_swap(&key, 0, &text, None)
      .await
      .map_err(io::Error::other)?;
  }
  let boxes = stage
    .boxes
    .iter()
    .map(|(name, process)| BoxEntry {
      hall: process.hall.as_str().into(),
      leaving: false,
      name: name.as_str().into(),
      peer_address: process.relay.address().to_string().into(),
    })
    .collect();
  let list = serde_json::to_vec(&ShownList { boxes })?;
  let request = Request::put(format!("{}/boxes", stage.box_list.url))
    .header("content-type", "application/json")
    .body(Full::new(list.into()))
    .map_err(io::Error::other)?;
  let caller = Caller::new("");
  caller
    .raw(request)
    .await
    .map(|_| ())
    .map_err(|told| io::Error::other(format!("the box list: {told:?}")))
}

async fn wait_until_serving(stage: &Stage, caller: &Caller) -> io::Result<()> {
  for (name, process) in &stage.boxes {
    let probe = Ask::new("are you there?", 1);
    let serving = eventually(LIMIT, async || {
      caller.complete(&process.url(), &probe).await.is_answered()
    })
    .await;
    if !serving {
      let message = format!("{name} does not serve; its log:\n{}", process.log());
      return Err(io::Error::other(message));
    }
  }
  Ok(())
}

fn check(what: &str, told: &Told, wanted: &str) -> io::Result<()> {
  match told {
    Told::Answered(text) if text.contains(wanted) => {
      println!("   {what}: answered whole, {} bytes", text.len());
      Ok(())
    }
    other => Err(io::Error::other(format!("{what}: {other:?}"))),
  }
}

async fn use_boxes(stage: &Stage, caller: &Caller) -> io::Result<()> {
  println!("== a streamed completion (prefill, transfer, decode) and a portal lookup on each box");
  for (name, process) in &stage.boxes {
    let prompt = format!("Summarise lecture {name}. ");
    let told = caller
      .complete(&process.url(), &Ask::new(&prompt, TOKENS))
      .await;
    check(name, &told, &answer_text(&prompt, TOKENS))?;
    let told = caller
      .call(
        &process.url(),
        Method::GET,
        "portal/clips/7?part=2",
        &[],
        "",
      )
      .await;
    check(name, &told, "/clips/7?part=2")?;
  }
  Ok(())
}

async fn lose_a_box(stage: &mut Stage, caller: &Caller) -> io::Result<()> {
  println!("== north-1 is killed while one answer streams from it and one from north-2");
  let asks = [
    Ask::new("Long lecture one. ", 200),
    Ask::new("Long lecture two. ", 200),
  ];
  let mut lost = open(stage, caller, "north-1", &asks[0]).await?;
  let mut kept = open(stage, caller, "north-2", &asks[1]).await?;
  if let Some((_, process)) = stage.boxes.iter_mut().find(|(name, _)| name == "north-1") {
    process.kill();
  }
  let told = loop {
    if let Some(told) = lost.next().await {
      break told;
    }
  };
  println!("   caller of north-1: {told:?}");
  let told = loop {
    if let Some(told) = kept.next().await {
      break told;
    }
  };
  check(
    "caller of north-2",
    &told,
    &answer_text("Long lecture two. ", 200),
  )?;
  println!("== the caller of north-1 asks again, by the balancer's next choice");
  let (name, process) = &stage.boxes[1];
  let told = caller.complete(&process.url(), &asks[0]).await;
  check(name, &told, &answer_text("Long lecture one. ", 200))?;
  println!("== the lost box's attempt is swept from the engine by its home");
  let swept = eventually(LIMIT, async || {
    for endpoint in &stage.endpoints {
      let uri = format!("{}/v1/attempts", endpoint.url);
      let reply = rillford::HttpClient::default()
        .get::<serde_json::Value>(&uri, Duration::from_secs(1))
        .await;
      let held = reply
        .ok()
        .and_then(|reply| reply["attempts"].as_array().map(Vec::len));
      if held.unwrap_or(0) > 0 {
        return false;
      }
    }
    true
  })
  .await;
  if !swept {
    return Err(io::Error::other("engines still hold memory"));
  }
  println!("   no engine holds anything");
  Ok(())
}

async fn open(stage: &Stage, caller: &Caller, name: &str, ask: &Ask) -> io::Result<crate::Stream> {
  let (_, process) = stage
    .boxes
    .iter()
    .find(|(known, _)| known == name)
    .ok_or_else(|| io::Error::other("no such box"))?;
  let mut stream = caller
    .open(&process.url(), ask)
    .await
    .map_err(|told| io::Error::other(format!("{name}: {told:?}")))?;
  while stream.text().is_empty() {
    stream.next().await;
  }
  Ok(stream)
}

fn time_line(stage: &Stage) -> io::Result<()> {
  println!("== the last 40 events of the merged time line (rillford timeline)");
  let mut command = Command::new(&stage.program);
  command.args(["timeline", "--key", ADMIN_KEY]);
  for (_, process) in &stage.boxes {
    command.args(["--server", &process.admin_url()]);
  }
  let output = command.output()?;
  let text = String::from_utf8_lossy(&output.stdout).to_string();
  let lines = text.lines().collect::<Vec<_>>();
  for line in &lines[lines.len().saturating_sub(40)..] {
    println!("   {line}");
  }
  println!("== done: all ended as it should");
  Ok(())
}
