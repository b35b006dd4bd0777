//! The demo: starts stand-ins and boxes as processes, sends requests, kills a box and prints the timeline.

use {
  crate::{
    ADMIN_KEY, Ask, Authority, BoxProcess, CALLER_KEY, Caller, HallPlan, ORGANISATION, Plan,
    ShownList, Told, answer_text,
    deployment::{PlatformUrls, prepare_box},
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
const TIMEOUT: Duration = Duration::from_secs(20);
const COMPLETION_TOKENS: u64 = 40;

/// A stand-in that runs as a child process.
struct StandInProcess {
  child: Child,
  url: String,
}

impl Drop for StandInProcess {
  fn drop(&mut self) {
    let _ = self.child.kill();
    let _ = self.child.wait();
  }
}

fn start_stand_in(arguments: &[&str]) -> io::Result<StandInProcess> {
  let [address] = own_addresses();
  let child = Command::new(env::current_exe()?)
    .args(arguments)
    .arg("--listen")
    .arg(address.to_string())
    .stdin(Stdio::null())
    .stdout(Stdio::null())
    .spawn()?;
  Ok(StandInProcess {
    child,
    url: format!("http://{address}"),
  })
}

/// The processes of the demo.
struct DemoDeployment {
  program: PathBuf,
  key_value: StandInProcess,
  box_list: StandInProcess,
  endpoints: Vec<StandInProcess>,
  boxes: Vec<(String, BoxProcess)>,
  _folder: TempDir,
}

/// The given program, or by default `rillford` in the folder of this one. Fails if it does not exist.
pub(crate) fn find_program(program: Option<PathBuf>) -> io::Result<PathBuf> {
  let program = match program {
    Some(program) => program,
    None => env::current_exe()?.with_file_name("rillford"),
  };
  if program.exists() {
    return Ok(program);
  }
  let message = format!(
    "{} does not exist: run `cargo build --workspace` first",
    program.display()
  );
  Err(io::Error::other(message))
}

pub(crate) fn run(program: Option<PathBuf>) -> io::Result<()> {
  let program = find_program(program)?;
  tokio::runtime::Builder::new_current_thread()
    .enable_all()
    .build()?
    .block_on(async { run_demo(&program).await })
}

async fn run_demo(program: &Path) -> io::Result<()> {
  let mut deployment = set_up(program)?;
  configure(&deployment).await?;
  for (_, process) in &mut deployment.boxes {
    process.start(program)?;
  }
  let caller = Caller::new(CALLER_KEY);
  wait_until_serving(&deployment, &caller).await?;
  println!(
    "== {} stand-ins and {} boxes over {} halls are up",
    deployment.endpoints.len() + 2,
    deployment.boxes.len(),
    HALLS.len()
  );
  send_requests(&deployment, &caller).await?;
  kill_a_box(&mut deployment, &caller).await?;
  print_timeline(&deployment)
}

fn set_up(program: &Path) -> io::Result<DemoDeployment> {
  let folder = tempfile::tempdir()?;
  let key_value = start_stand_in(&["key-value"])?;
  let box_list = start_stand_in(&["box-list"])?;
  let mut endpoints = Vec::new();
  let mut sections = String::new();
  for hall in HALLS {
    let prefill = start_stand_in(&["engine", "--prefill"])?;
    let decode = start_stand_in(&["engine"])?;
    let service = start_stand_in(&["service"])?;
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
    let process = prepare_box(&folder, &plan, hall, name, &urls, &sections)?;
    boxes.push((name.to_string(), process));
  }
  Ok(DemoDeployment {
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

/// Writes the initial configuration and the box list.
async fn configure(deployment: &DemoDeployment) -> io::Result<()> {
  let service = KeyValueClient::new(
    &deployment.key_value.url,
    Duration::from_secs(1),
    Arc::new(|| {}),
  );
  let up = eventually(TIMEOUT, async || service.get("x").await.is_ok()).await;
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
  let boxes = deployment
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
  let request = Request::put(format!("{}/boxes", deployment.box_list.url))
    .header("content-type", "application/json")
    .body(Full::new(list.into()))
    .map_err(io::Error::other)?;
  let caller = Caller::new("");
  caller
    .raw(request)
    .await
    .map(|_| ())
    .map_err(|told| io::Error::other(format!("box list: {told:?}")))
}

async fn wait_until_serving(deployment: &DemoDeployment, caller: &Caller) -> io::Result<()> {
  for (name, process) in &deployment.boxes {
    let probe = Ask::new("are you there?", 1);
    let serving = eventually(TIMEOUT, async || {
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

fn check(what: &str, told: &Told, expected: &str) -> io::Result<()> {
  match told {
    Told::Answered(text) if text.contains(expected) => {
      println!("   {what}: complete response, {} bytes", text.len());
      Ok(())
    }
    other => Err(io::Error::other(format!("{what}: {other:?}"))),
  }
}

async fn send_requests(deployment: &DemoDeployment, caller: &Caller) -> io::Result<()> {
  println!("== a streamed completion (prefill, transfer, decode) and a portal lookup on each box");
  for (name, process) in &deployment.boxes {
    let prompt = format!("Summarise lecture {name}. ");
    let told = caller
      .complete(&process.url(), &Ask::new(&prompt, COMPLETION_TOKENS))
      .await;
    check(name, &told, &answer_text(&prompt, COMPLETION_TOKENS))?;
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

async fn kill_a_box(deployment: &mut DemoDeployment, caller: &Caller) -> io::Result<()> {
  println!("== north-1 is killed while it and north-2 each stream a response");
  let asks = [
    Ask::new("Long lecture one. ", 200),
    Ask::new("Long lecture two. ", 200),
  ];
  let mut interrupted = open(deployment, caller, "north-1", &asks[0]).await?;
  let mut unaffected = open(deployment, caller, "north-2", &asks[1]).await?;
  if let Some((_, process)) = deployment
    .boxes
    .iter_mut()
    .find(|(name, _)| name == "north-1")
  {
    process.kill();
  }
  let told = loop {
    if let Some(told) = interrupted.next().await {
      break told;
    }
  };
  println!("   caller of north-1: {told:?}");
  let told = loop {
    if let Some(told) = unaffected.next().await {
      break told;
    }
  };
  check(
    "caller of north-2",
    &told,
    &answer_text("Long lecture two. ", 200),
  )?;
  println!("== the caller of north-1 retries on another box");
  let (name, process) = &deployment.boxes[1];
  let told = caller.complete(&process.url(), &asks[0]).await;
  check(name, &told, &answer_text("Long lecture one. ", 200))?;
  println!("== the attempt of the killed box is cancelled by the engine's owner");
  let cancelled = eventually(TIMEOUT, async || {
    for endpoint in &deployment.endpoints {
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
  if !cancelled {
    return Err(io::Error::other("engines still hold attempts"));
  }
  println!("   no engine holds an attempt");
  Ok(())
}

async fn open(
  deployment: &DemoDeployment,
  caller: &Caller,
  name: &str,
  ask: &Ask,
) -> io::Result<crate::Stream> {
  let (_, process) = deployment
    .boxes
    .iter()
    .find(|(box_name, _)| box_name == name)
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

fn print_timeline(deployment: &DemoDeployment) -> io::Result<()> {
  println!("== the last 40 events of the merged timeline (rillford timeline)");
  let mut command = Command::new(&deployment.program);
  command.args(["timeline", "--key", ADMIN_KEY]);
  for (_, process) in &deployment.boxes {
    command.args(["--server", &process.admin_url()]);
  }
  let output = command.output()?;
  let text = String::from_utf8_lossy(&output.stdout).to_string();
  let lines = text.lines().collect::<Vec<_>>();
  for line in &lines[lines.len().saturating_sub(40)..] {
    println!("   {line}");
  }
  println!("== done: all checks passed");
  Ok(())
}
