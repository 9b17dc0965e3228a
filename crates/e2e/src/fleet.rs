//! Fleets of real control and entry processes with stand-in engines and services.

use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context as _, bail};
use bytes::Bytes;
use hatchpitch::config::view::key_digest;
use hatchpitch::entry::operators::EntryStatus;
use hatchpitch_net::keys::to_hex;
use hatchpitch_standins::caller::Caller;
use hatchpitch_standins::engine::server::{Fault, LedgerRow};
use http::{HeaderMap, Method};
use serde::de::DeserializeOwned;
use tempfile::TempDir;

use crate::process::{Process, lock_process_spawning};

/// Timeout of every condition that a test waits for.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of one operator call; the called box may be suspended.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between polls of a condition.
const POLL: Duration = Duration::from_millis(20);
/// Model served by the test pool.
pub const MODEL: &str = "explain-7b";
/// Key of the operator `root`.
pub const OPERATOR_KEY: &str = "operator-key-of-the-test-fleet";
/// Name, key and priority of each workspace.
pub const WORKSPACES: [(&str, &str, u8); 3] = [
    ("gold", "key-of-workspace-gold", 9),
    ("silver", "key-of-workspace-silver", 5),
    ("bronze", "key-of-workspace-bronze", 1),
];

/// Number of processes of each kind and their settings.
#[derive(Debug, Clone)]
pub struct FleetSpec {
    /// Number of control boxes.
    pub control: usize,
    /// Number of entry boxes.
    pub entry: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of application services.
    pub apps: usize,
    /// Number of generations that the configuration allows at an engine at once.
    pub max_batch: u32,
    /// Additional command-line arguments of every engine.
    pub engine_args: Vec<String>,
    /// Lines of the `[timing]` section in the settings of every entry box.
    pub timing: Vec<String>,
}

impl Default for FleetSpec {
    fn default() -> Self {
        Self {
            control: 3,
            entry: 3,
            engines: 2,
            apps: 1,
            max_batch: 16,
            engine_args: Vec::new(),
            timing: vec!["endpoints_max_age_ms = 1000".into(), "stop_grace_ms = 1500".into()],
        }
    }
}

/// A running fleet.
pub struct TestFleet {
    /// Control processes.
    pub control: Vec<Process>,
    /// Entry processes.
    pub entry: Vec<Process>,
    /// Model engine processes.
    pub engines: Vec<Process>,
    /// Application service processes.
    pub apps: Vec<Process>,
    /// Operators' listeners of the control boxes.
    pub control_addrs: Vec<SocketAddr>,
    /// Callers' listeners of the entry boxes.
    pub entry_addrs: Vec<SocketAddr>,
    /// Listen addresses of the engines.
    pub engine_addrs: Vec<SocketAddr>,
    /// Listen addresses of the application services.
    pub app_addrs: Vec<SocketAddr>,
    /// Boxes' listeners of the entry boxes.
    pub entry_box_addrs: Vec<SocketAddr>,
    spec: FleetSpec,
    dir: TempDir,
}

/// Addresses reserved for a fleet before it starts.
struct AddressPlan {
    /// Boxes' and operators' listener of each control box.
    control: Vec<(SocketAddr, SocketAddr)>,
    /// Callers' and boxes' listener of each entry box.
    entry: Vec<(SocketAddr, SocketAddr)>,
    engines: Vec<SocketAddr>,
    apps: Vec<SocketAddr>,
}

impl TestFleet {
    /// Starts a fleet, applies configuration number 1 and waits until it is in force.
    ///
    /// # Errors
    ///
    /// Returns an error if a process fails to start or the fleet does not become ready in time.
    pub async fn start(spec: FleetSpec) -> anyhow::Result<Self> {
        let mut fleet = Self::launch(spec)?;
        fleet.wait_ready().await?;
        fleet.apply(1).await?;
        fleet.wait_in_force(1).await?;
        Ok(fleet)
    }

    /// Starts the processes without applying a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started.
    pub fn launch(spec: FleetSpec) -> anyhow::Result<Self> {
        let dir = tempfile::tempdir()?;
        std::fs::write(dir.path().join("box.key"), "a secret that only the boxes share")?;
        let plan = AddressPlan::new(&spec)?;
        let mut fleet = Self {
            control: Vec::new(),
            entry: Vec::new(),
            engines: Vec::new(),
            apps: Vec::new(),
            control_addrs: plan.control.iter().map(|(_, operators)| *operators).collect(),
            entry_addrs: plan.entry.iter().map(|(callers, _)| *callers).collect(),
            entry_box_addrs: plan.entry.iter().map(|(_, boxes)| *boxes).collect(),
            engine_addrs: plan.engines.clone(),
            app_addrs: plan.apps.clone(),
            spec,
            dir,
        };
        fleet.start_standins(&plan)?;
        fleet.start_boxes(&plan)?;
        Ok(fleet)
    }

    /// Waits until every process responds to HTTP.
    ///
    /// # Errors
    ///
    /// Returns an error with the name and log of a process that exited or does not respond.
    async fn wait_ready(&mut self) -> anyhow::Result<()> {
        let engines = self.engines.iter_mut().zip(&self.engine_addrs);
        let apps = self.apps.iter_mut().zip(&self.app_addrs);
        let control = self.control.iter_mut().zip(&self.control_addrs);
        let entry = self.entry.iter_mut().zip(&self.entry_addrs);
        for (process, addr) in engines.chain(apps).chain(control).chain(entry) {
            process.wait_ready(*addr, WAIT_TIMEOUT).await?;
        }
        Ok(())
    }

    fn start_standins(&mut self, plan: &AddressPlan) -> anyhow::Result<()> {
        for (i, addr) in plan.engines.iter().enumerate() {
            let mut args =
                vec!["--listen".into(), addr.to_string(), "--model".into(), MODEL.into()];
            args.extend(self.spec.engine_args.iter().cloned());
            let name = format!("engine-{i}");
            let log = self.path(&format!("{name}.log"));
            self.engines.push(Process::start(&name, "standin-engine", args, log)?);
        }
        for (i, addr) in plan.apps.iter().enumerate() {
            let name = format!("app-{i}");
            let log = self.path(&format!("{name}.log"));
            let args = vec!["--listen".into(), addr.to_string()];
            self.apps.push(Process::start(&name, "standin-app", args, log)?);
        }
        Ok(())
    }

    fn start_boxes(&mut self, plan: &AddressPlan) -> anyhow::Result<()> {
        for i in 0..plan.control.len() {
            let name = format!("control-{i}");
            let settings = self.control_settings(plan, i);
            let process = self.start_box(&name, "hatchpitch-control", &settings)?;
            self.control.push(process);
        }
        for i in 0..plan.entry.len() {
            let name = format!("entry-{i}");
            let settings = self.entry_settings(plan, i);
            let process = self.start_box(&name, "hatchpitch-entry", &settings)?;
            self.entry.push(process);
        }
        Ok(())
    }

    fn start_box(&self, name: &str, bin: &str, settings: &str) -> anyhow::Result<Process> {
        let file = self.path(&format!("{name}.toml"));
        std::fs::write(&file, settings)?;
        let args = vec!["--settings".into(), file.display().to_string()];
        Process::start(name, bin, args, self.path(&format!("{name}.log")))
    }

    fn control_settings(&self, plan: &AddressPlan, i: usize) -> String {
        let (boxes, operators) = plan.control[i];
        let data_dir = self.data_dir(i);
        let digest = to_hex(&key_digest(OPERATOR_KEY));
        let mut text = format!(
            "name = \"control-{i}\"\nboxes_addr = \"{boxes}\"\noperators_addr = \"{operators}\"\n\
             data_folder = {data_dir:?}\nlog_level = \"debug\"\n{}\n\
             [[operator]]\nname = \"root\"\nkeys = [{{ id = \"k1\", sha256 = \"{digest}\" }}]\n",
            self.box_keys(),
        );
        for (j, (boxes, operators)) in plan.control.iter().enumerate() {
            let _ = write!(
                text,
                "\n[[peer]]\nname = \"control-{j}\"\nboxes_addr = \"{boxes}\"\n\
                 operators_addr = \"{operators}\"\n"
            );
        }
        text
    }

    fn entry_settings(&self, plan: &AddressPlan, i: usize) -> String {
        let (callers, boxes) = plan.entry[i];
        let list = |addrs: Vec<SocketAddr>| {
            let quoted: Vec<String> = addrs.iter().map(|addr| format!("\"{addr}\"")).collect();
            format!("[{}]", quoted.join(", "))
        };
        let control = list(plan.control.iter().map(|(boxes, _)| *boxes).collect());
        let seeds = list(plan.entry.iter().map(|(_, boxes)| *boxes).collect());
        format!(
            "name = \"entry-{i}\"\nfailure_domain = \"{}\"\ncallers_addr = \"{callers}\"\n\
             boxes_addr = \"{boxes}\"\ncontrol = {control}\nseeds = {seeds}\n\
             log_level = \"debug\"\n{}\n[timing]\n{}\n",
            FAILURE_DOMAINS[i % FAILURE_DOMAINS.len()],
            self.box_keys(),
            self.spec.timing.join("\n"),
        )
    }

    fn box_keys(&self) -> String {
        format!("box_keys = [{{ id = \"k1\", file = {:?} }}]", self.path("box.key"))
    }

    /// Returns the data directory of a control box.
    pub fn data_dir(&self, i: usize) -> PathBuf {
        self.path(&format!("control-{i}.data"))
    }

    fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    /// Renders the fleet file with the given configuration number.
    pub fn fleet_file(&self, number: u64) -> String {
        let mut text = format!("number = {number}\n");
        for domain in FAILURE_DOMAINS {
            let _ = write!(text, "\n[[failure_domain]]\nname = \"{domain}\"\nregion = \"here\"\n");
        }
        let _ = write!(
            text,
            "\n[[pool]]\nname = \"explain\"\nmodel = \"{MODEL}\"\nversion = \"1\"\n\
             max_tokens = 4000\nsilence_limit_ms = 1000\n"
        );
        for (i, addr) in self.engine_addrs.iter().enumerate() {
            let _ = write!(
                text,
                "\n[[runner]]\nname = \"engine-{i}\"\npool = \"explain\"\naddr = \"{addr}\"\n\
                 failure_domain = \"{}\"\nmax_batch = {}\n",
                FAILURE_DOMAINS[i % FAILURE_DOMAINS.len()],
                self.spec.max_batch
            );
        }
        text.push_str(
            "\n[[service]]\nname = \"calculator\"\ntimeout_ms = 2000\n\
             route = [{ path = \"/rates\", repeatable = true }, \
             { path = \"/payoff\", repeatable = false }]\n",
        );
        for (i, addr) in self.app_addrs.iter().enumerate() {
            let _ = write!(
                text,
                "\n[[service_upstream]]\nname = \"app-{i}\"\nservice = \"calculator\"\n\
                 addr = \"{addr}\"\nfailure_domain = \"{}\"\n",
                FAILURE_DOMAINS[i % FAILURE_DOMAINS.len()]
            );
        }
        for (name, key, priority) in WORKSPACES {
            let _ = write!(
                text,
                "\n[[workspace]]\nname = \"{name}\"\npriority = {priority}\npools = [\"explain\"]\n\
                 services = [\"calculator\"]\nkeys = [{{ id = \"k1\", sha256 = \"{}\" }}]\n",
                to_hex(&key_digest(key))
            );
        }
        let digest = to_hex(&key_digest(OPERATOR_KEY));
        let _ = write!(
            text,
            "\n[[operator]]\nname = \"root\"\nkeys = [{{ id = \"k1\", sha256 = \"{digest}\" }}]\n"
        );
        text
    }

    /// Submits a fleet file to the leading control box, trying each until one accepts the call;
    /// returns the status and body of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader responds in time.
    pub async fn submit(&self, text: &str) -> anyhow::Result<(u16, String)> {
        let started = Instant::now();
        let mut last = String::new();
        while started.elapsed() < WAIT_TIMEOUT {
            for at in &self.control_addrs {
                let body = Bytes::from(text.to_owned());
                match self.operator_call(*at, Method::POST, "/ops/config", body).await {
                    Ok((421 | 503, body)) => last = body,
                    Ok(response) => return Ok(response),
                    Err(err) => last = format!("{err:#}"),
                }
            }
            compio::time::sleep(POLL).await;
        }
        bail!("no control box handled the fleet file: {last}")
    }

    /// Applies the fleet file with the given configuration number.
    ///
    /// # Errors
    ///
    /// Returns an error if the file is not accepted.
    pub async fn apply(&self, number: u64) -> anyhow::Result<()> {
        let (status, body) = self.submit(&self.fleet_file(number)).await?;
        anyhow::ensure!(status == 200, "apply {number}: {status}: {body}");
        Ok(())
    }

    /// Waits until every entry box has confirmed configuration `number` or a newer one.
    ///
    /// # Errors
    ///
    /// Returns an error if a box does not confirm it in time.
    pub async fn wait_in_force(&self, number: u64) -> anyhow::Result<()> {
        for i in 0..self.entry_addrs.len() {
            self.wait_entry(i, |status| {
                status.config_number >= number && status.confirmed_age_ms.is_some()
            })
            .await?;
        }
        Ok(())
    }

    /// Polls the status of an entry box until it satisfies `condition`.
    ///
    /// # Errors
    ///
    /// Returns an error with the last status or failure if the condition is not met in time.
    pub async fn wait_entry(
        &self,
        i: usize,
        condition: impl Fn(&EntryStatus) -> bool,
    ) -> anyhow::Result<EntryStatus> {
        let started = Instant::now();
        let mut last = String::new();
        while started.elapsed() < WAIT_TIMEOUT {
            match self.entry_status(i).await {
                Ok(status) if condition(&status) => return Ok(status),
                Ok(status) => last = format!("{status:?}"),
                Err(err) => last = format!("{err:#}"),
            }
            compio::time::sleep(POLL).await;
        }
        bail!("entry-{i} did not reach the expected status: {last}")
    }

    /// Returns the status of an entry box.
    ///
    /// # Errors
    ///
    /// Returns an error if the box does not respond with success.
    pub async fn entry_status(&self, i: usize) -> anyhow::Result<EntryStatus> {
        let at = self.entry_addrs[i];
        let (status, body) =
            self.operator_call(at, Method::GET, "/ops/status", Bytes::new()).await?;
        anyhow::ensure!(status == 200, "{status}: {body}");
        Ok(serde_json::from_str(&body)?)
    }

    /// Calls an operators' listener; repairs get a longer timeout than other calls.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives in time.
    pub async fn operator_call(
        &self,
        at: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> anyhow::Result<(u16, String)> {
        let operator = Caller { key: OPERATOR_KEY.to_owned() };
        let call = operator.call(at, method, path, HeaderMap::new(), body);
        let timeout = if path.starts_with("/ops/repair") { WAIT_TIMEOUT } else { OPERATOR_TIMEOUT };
        let response = compio::time::timeout(timeout, call).await;
        let (parts, body) = response.with_context(|| format!("{at} does not respond"))??;
        Ok((parts.status.as_u16(), String::from_utf8_lossy(&body).into_owned()))
    }

    /// Returns a caller with the key of the workspace at this index of [`WORKSPACES`].
    pub fn caller(&self, workspace: usize) -> Caller {
        Caller { key: WORKSPACES[workspace].1.to_owned() }
    }

    /// Injects a fault into an engine.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine does not respond with success.
    pub async fn set_fault(&self, engine: usize, fault: Fault) -> anyhow::Result<()> {
        let body = Bytes::from(serde_json::to_vec(&fault)?);
        self.call_standin(self.engine_addrs[engine], Method::POST, "/admin/fault", body).await?;
        Ok(())
    }

    /// Returns the generations recorded by an engine.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine does not respond with a valid ledger.
    pub async fn ledger(&self, engine: usize) -> anyhow::Result<Vec<LedgerRow>> {
        self.get_standin_json(self.engine_addrs[engine], "/admin/ledger").await
    }

    /// Gets a JSON document from a stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or the body does not decode.
    pub async fn get_standin_json<T: DeserializeOwned>(
        &self,
        at: SocketAddr,
        path: &str,
    ) -> anyhow::Result<T> {
        let body = self.call_standin(at, Method::GET, path, Bytes::new()).await?;
        serde_json::from_slice(&body).with_context(|| format!("{at}{path}"))
    }

    /// Calls a stand-in and returns the body of its response.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or its status is not a success.
    pub async fn call_standin(
        &self,
        at: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> anyhow::Result<Bytes> {
        let caller = Caller { key: String::new() };
        let (parts, body) = caller.call(at, method, path, HeaderMap::new(), body).await?;
        anyhow::ensure!(parts.status.is_success(), "{at}{path}: {}", parts.status);
        Ok(body)
    }

    /// Writes a file into the fleet's temporary directory and returns its path.
    ///
    /// # Errors
    ///
    /// Returns the I/O error.
    pub fn write_file(&self, name: &str, text: &str) -> anyhow::Result<PathBuf> {
        let path = self.path(name);
        std::fs::write(&path, text)?;
        Ok(path)
    }

    /// Returns the fleet's temporary directory.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }
}

/// Failure domains, assigned to processes in turn.
const FAILURE_DOMAINS: [&str; 3] = ["domain-a", "domain-b", "domain-c"];

impl AddressPlan {
    fn new(spec: &FleetSpec) -> anyhow::Result<Self> {
        // Held until the reserved ports are released at the end of this function.
        let _spawn_guard = lock_process_spawning();
        let ip = unique_loopback();
        let mut ports = PortAllocator { ip, listeners: Vec::new() };
        let mut pairs = |count: usize| -> anyhow::Result<Vec<(SocketAddr, SocketAddr)>> {
            (0..count).map(|_| Ok((ports.next()?, ports.next()?))).collect()
        };
        let control = pairs(spec.control)?;
        let entry = pairs(spec.entry)?;
        let engines = (0..spec.engines).map(|_| ports.next()).collect::<Result<_, _>>()?;
        let apps = (0..spec.apps).map(|_| ports.next()).collect::<Result<_, _>>()?;
        Ok(Self { control, entry, engines, apps })
    }
}

/// Allocates kernel-assigned ports and keeps each listener open, so that no port is assigned twice.
struct PortAllocator {
    ip: Ipv4Addr,
    listeners: Vec<TcpListener>,
}

impl PortAllocator {
    fn next(&mut self) -> anyhow::Result<SocketAddr> {
        let listener = TcpListener::bind((self.ip, 0))?;
        let addr = listener.local_addr()?;
        self.listeners.push(listener);
        Ok(addr)
    }
}

/// Derives a loopback address from the process id and a counter to keep concurrent fleets apart.
fn unique_loopback() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let fleet = NEXT.fetch_add(1, Ordering::Relaxed);
    let id = (std::process::id() << 8) | (fleet & 0xff);
    let [_, b, c, d] = id.to_be_bytes();
    Ipv4Addr::new(127, b.max(1), c, d.clamp(1, 254))
}
