//! The replay's settings files: the template language, the deploy file, and the fields that fill the repository's own template.

use {
  super::replay_site::SITE,
  replay::{
    BoxAddresses, BoxPlace, DeployFile, Error, SettingsTemplate, Site, box_host, box_values,
    server_host,
  },
  rillford::gateway::GatewaySettings,
  rstest::rstest,
  serde_json::{Value, json},
  std::{fs, net::SocketAddr, path::Path},
};

const SETTINGS_PATH: &str = "/run/box.toml";

fn repository() -> &'static Path {
  Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn fields() -> Value {
  json!({
    "name": "north-1",
    "half": 0.5,
    "whole": 8,
    "yes": true,
    "no": false,
    "zero": 0,
    "none": null,
    "empty": [],
    "list": ["a", "b"],
    "table": {"x": {"name": "inner", "n": 1}, "y": {"n": 2}},
  })
}

#[rstest]
#[case::plain("a { b } c", "a { b } c")]
#[case::value("{{name}}:{{whole}}:{{half}}:{{yes}}", "north-1:8:0.5:true")]
#[case::path("{{table.y.n}}{{list.1}}", "2b")]
#[case::missing("<{{other}}{{none}}{{list.7}}{{name.x}}>", "<>")]
#[case::list("{{list}}", "a,b")]
#[case::table("{{table.y}}", "{\"n\":2}")]
#[case::json("{{list|json}}{{name|json}}", "[\"a\",\"b\"]\"north-1\"")]
#[case::all_of_an_entry("{{#table.y}}{{.|json}}{{/table.y}}", "2")]
#[case::entries_of_a_list("{{#list}}{{@}}{{.}}{{,}}{{/list}}", "0a,1b")]
#[case::entries_of_a_table("{{#table}}{{@}}={{n}}{{,}}{{/table}}", "x=1,y=2")]
#[case::entry_first("{{#table}}{{name}} {{/table}}", "inner north-1 ")]
#[case::given("{{#whole}}{{.}}{{/whole}}", "8")]
#[case::zero_is_given("{{#zero}}{{.}}{{/zero}}", "0")]
#[case::true_once("{{#yes}}{{name}}{{/yes}}", "north-1")]
#[case::nothing("<{{#no}}n{{/no}}{{#none}}n{{/none}}{{#empty}}n{{/empty}}>", "<>")]
#[case::inverted("{{^no}}a{{/no}}{{^none}}b{{/none}}{{^yes}}c{{/yes}}", "ab")]
#[case::in_a_section("{{#list}}{{#yes}}{{@}}{{/yes}}{{/list}}", "01")]
#[case::section_in_itself("{{#list}}{{#list}}{{.}}{{/list}};{{/list}}", "ab;ab;")]
#[case::blanks("{{ name }}{{# yes }}!{{/ yes }}", "north-1!")]
fn template_is_filled(#[case] template: &str, #[case] expected: &str) {
  let template = SettingsTemplate::parse(template).unwrap();
  assert_eq!(template.render(&fields()), expected);
}

#[test]
fn outermost_entry_is_all_fields() {
  let template = SettingsTemplate::parse("{{.|json}}").unwrap();
  let rendered: Value = serde_json::from_str(&template.render(&fields())).unwrap();
  assert_eq!(rendered, fields());
}

#[rstest]
#[case::open_gap("a {{name\nb", "a gap has no end: {{name")]
#[case::open_section("{{#a}}b", "section a has no end")]
#[case::open_inverted("{{^a}}b", "section a has no end")]
#[case::end_alone("a{{/b}}", "section b ends, but did not begin")]
#[case::wrong_end("{{#a}}{{/b}}", "section a ends as section b")]
#[case::no_name("{{}}", "no name")]
#[case::unknown_filter("{{a|yaml}}", "no name of a value: \"a|yaml\"")]
#[case::brace_at_gap("{{{a}}}", "no name of a value: \"{a\"")]
#[case::empty_segment("{{a..b}}", "no name")]
fn invalid_template_says_what_is_wrong(#[case] template: &str, #[case] expected: &str) {
  let error = SettingsTemplate::parse(template).unwrap_err();
  assert!(matches!(error, Error::Template(_)));
  assert!(error.to_string().contains(expected), "{error}");
}

fn values(is_first_start: bool) -> Value {
  let site = Site::parse(SITE).unwrap();
  let place = BoxPlace {
    index: 3,
    name: "east-3".into(),
    zone: "east".into(),
    region: "here".into(),
  };
  let address = |port| SocketAddr::from(([127, 70, 0, 4], port));
  let addresses = BoxAddresses {
    callers: address(7_001),
    ready: address(7_002),
    boxes: address(7_005),
    metrics: address(9_102),
  };
  let store = SocketAddr::from(([127, 0, 0, 1], 8_142));
  box_values(&site, &place, &addresses, store, is_first_start)
}

// The repository's own settings have to reach the program as a deployment gives them.
#[test]
fn own_template_gives_settings_that_the_program_reads() {
  let deploy = DeployFile::read(repository()).unwrap();
  let text = deploy.settings(&values(true));
  let settings = GatewaySettings::parse(Path::new(SETTINGS_PATH), &text).unwrap();
  assert_eq!(settings.identity.name.to_string(), "east-3");
  assert_eq!(settings.identity.hall.to_string(), "east");
  assert_eq!(settings.regions.len(), 2);
  assert_eq!(settings.listen.callers.to_string(), "127.70.0.4:7001");
  assert_eq!(settings.listen.ready.to_string(), "127.70.0.4:7002");
  assert_eq!(settings.listen.boxes.to_string(), "127.70.0.4:7005");
  assert_eq!(
    settings.listen.metrics.unwrap().to_string(),
    "127.70.0.4:9102"
  );
  let document: toml::Table = toml::from_str(&text).unwrap();
  assert_eq!(
    document["store"]["address"].as_str(),
    Some("127.0.0.1:8142")
  );
  assert_eq!(document["bounds"]["stop_s"].as_integer(), Some(8));
  assert_eq!(document["bounds"]["retry_slack"].as_float(), Some(52.5));
  assert_eq!(
    document["endpoints"]["heartbeat_ms"].as_integer(),
    Some(1_200)
  );
  assert_eq!(document["memory"]["box_mb"].as_integer(), Some(110));
  let rules = document["memory"]["rules"].as_array().unwrap();
  assert_eq!(rules.len(), 2);
}

#[test]
fn own_deploy_file_gives_the_arguments_of_the_program() {
  let deploy = DeployFile::read(repository()).unwrap();
  let arguments = deploy.arguments(Path::new(SETTINGS_PATH), &values(true));
  assert_eq!(arguments.unwrap(), ["gateway", "--settings", SETTINGS_PATH]);
  assert_eq!(deploy.metrics_port(), 9_102);
}

#[test]
fn first_start_is_told() {
  assert_eq!(values(true)["firstStart"], true);
  assert_eq!(values(false)["firstStart"], false);
}

/// The deploy file of a repository with these texts.
fn deploy_file(system: &str, template: Option<&str>) -> Result<DeployFile, Error> {
  let repository = tempfile::tempdir().unwrap();
  let deploy = repository.path().join("deploy");
  fs::create_dir(&deploy).unwrap();
  fs::write(deploy.join("system.toml"), system).unwrap();
  if let Some(template) = template {
    fs::write(deploy.join("box.template"), template).unwrap();
  }
  DeployFile::read(repository.path())
}

const SYSTEM: &str = r#"
[roles.control]
run = "target/program control"
on = "side"
serves = ["control"]
[roles.traffic]
run = "target/program {{zone}} --file={{nodeName}}:/etc/rillford/boot.yaml"
template = "deploy/box.template"
metrics = "9200/figures"
on = "front"
serves = ["front"]
env = { HALL = "{{zone}}-hall" }
"#;

#[test]
fn role_that_serves_callers_is_found() {
  let deploy = deploy_file(SYSTEM, Some("zone={{zone}}")).unwrap();
  let values = values(true);
  let arguments = deploy.arguments(Path::new(SETTINGS_PATH), &values);
  assert_eq!(arguments.unwrap(), ["east", "--file=east-3:/run/box.toml"]);
  assert_eq!(deploy.settings(&values), "zone=east");
  assert_eq!(deploy.metrics_port(), 9_200);
  let variables = deploy.variables(&values);
  assert_eq!(variables, [("HALL".to_string(), "east-hall".to_string())]);
}

#[test]
fn role_without_a_template_gets_all_fields() {
  let system = SYSTEM.replace("template = \"deploy/box.template\"", "");
  let deploy = deploy_file(&system, None).unwrap();
  let settings: Value = serde_json::from_str(&deploy.settings(&values(true))).unwrap();
  assert_eq!(settings, values(true));
}

#[rstest]
#[case::no_toml("[roles", "TOML")]
#[case::no_role("build = \"true\"", "no role on front machines serves front")]
#[case::no_template(SYSTEM, "box.template")]
#[case::no_port(
  "[roles.traffic]\nrun = \"a\"\non = \"front\"\nserves = [\"front\"]\nmetrics = \"high/figures\"",
  "metrics \"high/figures\""
)]
fn invalid_deploy_file_says_what_is_wrong(#[case] system: &str, #[case] expected: &str) {
  let error = deploy_file(system, None).unwrap_err().to_string();
  assert!(error.contains(expected), "{error}");
}

#[test]
fn missing_deploy_file_is_named() {
  let directory = tempfile::tempdir().unwrap();
  let error = DeployFile::read(directory.path()).unwrap_err().to_string();
  assert!(error.contains("deploy/system.toml"), "{error}");
}

#[test]
fn argument_with_a_blank_is_refused() {
  let deploy = deploy_file(SYSTEM, Some("")).unwrap();
  let values = json!({"zone": "far east"});
  let error = deploy.arguments(Path::new(SETTINGS_PATH), &values);
  assert!(error.unwrap_err().to_string().contains("far east"));
}

#[test]
fn hosts_of_boxes_and_servers_differ() {
  let mut hosts: Vec<_> = (0..249).map(box_host).collect();
  hosts.push(server_host());
  assert!(hosts.iter().all(|host| host.is_loopback()));
  assert!(!hosts.contains(&"127.0.0.1".parse().unwrap()));
  hosts.sort();
  hosts.dedup();
  assert_eq!(hosts.len(), 250);
}
