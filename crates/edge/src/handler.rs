//! Handles requests: authenticates the caller, calls the backend and builds the reply.

use {
    crate::{
        backend::{Answer, Backend},
        body::{self, PartialBudget, ProgramRequest},
        forward,
        head::Head,
        implicit::ImplicitProgram,
        problem::Problem,
        relay::{self, Relay, RelayReply, ReplyForm},
        reply::Reply,
        route::{self, Route, Target},
        view::{HistoryView, ProgramView},
    },
    http_types::{Method, StatusCode},
    smol::{Executor, Timer, future::or},
    std::{
        future::Future,
        sync::Arc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        call::{Call, Caller, CreateProgram, ProgramQuery, ServiceCall, Work},
        ids::{ProgramId, RequestId, StepKey, random_suffix},
        verdict::{Reason, Refusal, Verdict},
    },
};

/// Methods allowed for service calls, in the form of an `Allow` header.
const SERVICE_METHODS: &str = "GET, HEAD, POST, PUT, PATCH, DELETE";

/// Maximum time that a request with a step key waits until this host can confirm keys. The value
/// covers several heartbeats.
const KEY_CHECK_MAX_WAIT: Duration = Duration::from_secs(2);
/// Interval at which such a request retries the key check.
const KEY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Headers whose values are identifiers. They are logged, stored and forwarded, so they must not
/// contain the caller's key.
const IDENTIFIER_HEADERS: [&str; 3] = ["idempotency-key", "trefoil-class", "trefoil-program"];

/// A request with a validated head and, unless the route is open, an authenticated caller.
pub(crate) struct Request {
    pub head: Head,
    pub route: Route,
    /// The caller and its secret; `None` on an open route.
    pub caller: Option<(Caller, String)>,
    pub id: RequestId,
}

/// A reply together with the guard that must be kept until the reply is written.
pub(crate) struct Outcome<B: Backend> {
    pub relayed: RelayReply<B>,
    /// Ends the program that was created for this request only, when dropped.
    pub implicit: Option<ImplicitProgram<B>>,
}

impl<B: Backend> From<Reply> for Outcome<B> {
    fn from(reply: Reply) -> Self {
        Self { relayed: RelayReply { reply, stream: None }, implicit: None }
    }
}

impl<B: Backend> From<RelayReply<B>> for Outcome<B> {
    fn from(relayed: RelayReply<B>) -> Self {
        Self { relayed, implicit: None }
    }
}

/// Performs all checks that do not need the body: route, method and key.
pub(crate) async fn admit<B: Backend>(backend: &B, head: Head) -> Result<Request, Problem> {
    let route = Route::try_from(head.target.as_str())?;
    check_method(&route, head.method)?;
    let caller = match is_open(backend, &route, head.method) {
        true => None,
        false => Some(authenticate(backend, &head).await?),
    };
    Ok(Request { head, route, caller, id: random_suffix(&mut rand::rng()).into() })
}

fn check_method(route: &Route, method: Method) -> Result<(), Problem> {
    let allow = match route {
        Route::Health | Route::Ready | Route::Metrics => "GET, HEAD",
        Route::Programs | Route::Children(_) | Route::Chat => "POST",
        Route::Program(_) => "GET, DELETE",
        Route::History(_) => "GET",
        Route::Call(..) | Route::Open(_) => SERVICE_METHODS,
    };
    match allow.split(", ").any(|known| known == method.as_ref()) {
        true => Ok(()),
        false => Err(Problem::method_not_allowed(allow)),
    }
}

fn is_open<B: Backend>(backend: &B, route: &Route, method: Method) -> bool {
    match route {
        Route::Health | Route::Ready | Route::Metrics => true,
        Route::Open(target) => {
            backend.is_open_route(&target.service, method.as_ref(), &target.path)
        }
        _ => false,
    }
}

fn has_step_key(head: &Head) -> bool {
    matches!(head.single("idempotency-key"), Ok(Some(_)))
}

fn bearer_secret(head: &Head) -> Result<&str, Problem> {
    let value = head.single("authorization")?;
    let bearer = value.and_then(|value| {
        let (scheme, secret) = value.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then(|| secret.trim())
    });
    bearer.filter(|secret| !secret.is_empty()).ok_or_else(|| {
        let detail = "this route needs a key: Authorization: Bearer KEY";
        Problem::not_run(Reason::Unauthorized, detail)
    })
}

/// Returns the caller of the request's key, with its secret. While this host can't confirm keys, a
/// request with a step key waits up to [`KEY_CHECK_MAX_WAIT`]: it could not be refused as not run,
/// and a host that has just started can usually confirm keys soon.
async fn authenticate<B: Backend>(backend: &B, head: &Head) -> Result<(Caller, String), Problem> {
    let secret = bearer_secret(head)?;
    let deadline = Instant::now() + KEY_CHECK_MAX_WAIT;
    loop {
        let refusal = match backend.authenticate(secret) {
            Ok(caller) => return Ok((caller, secret.to_owned())),
            Err(refusal) => refusal,
        };
        let is_unconfirmed = refusal.retry_after.is_some();
        if !is_unconfirmed || !has_step_key(head) || Instant::now() >= deadline {
            return Err(with_step_verdict(head, refusal).into());
        }
        Timer::after(KEY_CHECK_INTERVAL).await;
    }
}

/// Changes the verdict to [`Verdict::MayHaveRun`] for a request with a step key. An earlier request
/// may have run the same step, through another host or before the key was withdrawn, and only the
/// program's home has that information.
fn with_step_verdict(head: &Head, mut refusal: Refusal) -> Refusal {
    if has_step_key(head) {
        refusal.verdict = Verdict::MayHaveRun;
    }
    refusal
}

/// Handles requests with a backend.
pub(crate) struct Handler<B> {
    pub backend: B,
    pub executor: Arc<Executor<'static>>,
    pub has_open_metrics: bool,
}

impl<B: Backend> Handler<B> {
    /// Handles a request. If the answer is streamed, the outcome holds the stream of the remaining
    /// body.
    pub async fn run(&self, request: Request, body: Vec<u8>) -> Result<Outcome<B>, Problem> {
        match &request.route {
            Route::Health => Ok(Reply::text(StatusCode::Ok, "ok\n").into()),
            Route::Ready => Ok(self.ready().into()),
            Route::Metrics => self.metrics().map(Outcome::from),
            Route::Open(target) => self.open(&request, target, body).await.map(Outcome::from),
            _ => self.run_keyed(&request, body).await,
        }
    }

    fn ready(&self) -> Reply {
        let readiness = self.backend.readiness();
        let status = match readiness.is_ready {
            true => StatusCode::Ok,
            false => StatusCode::ServiceUnavailable,
        };
        Reply::json(status, &readiness)
    }

    fn metrics(&self) -> Result<Reply, Problem> {
        match self.has_open_metrics {
            true => Ok(Reply::text(StatusCode::Ok, self.backend.metrics())),
            false => Err(Problem::not_run(Reason::NotFound, "metrics are not served here")),
        }
    }

    async fn open(
        &self,
        request: &Request,
        target: &Target,
        body: Vec<u8>,
    ) -> Result<RelayReply<B>, Problem> {
        if request.caller.is_some() {
            let detail = "this route is not open; call it by /v1/programs/{id}/calls/";
            return Err(Problem::not_run(Reason::NotFound, detail));
        }
        let call = service_call(&request.head, target, body);
        let answer = self.backend.open_call(call).await?;
        self.relay(None, answer, ReplyForm::Service).begin().await
    }

    async fn run_keyed(&self, request: &Request, body: Vec<u8>) -> Result<Outcome<B>, Problem> {
        let Some((caller, secret)) = request.caller.clone() else {
            return Err(Problem::not_run(Reason::Unauthorized, "this route needs a key"));
        };
        let mut parts = vec![request.head.target.as_bytes(), &body];
        parts.extend(IDENTIFIER_HEADERS.iter().flat_map(|name| request.head.values_as_bytes(name)));
        forward::check_no_key(&secret, &parts)?;
        match &request.route {
            Route::Programs => {
                let requested = body::parse_program(&request.head, &body)?;
                self.create(&request.head, caller, requested).await.map(Outcome::from)
            }
            Route::Children(parent) => {
                let requested = body::parse_program(&request.head, &body)?;
                let child = self.create_child(&request.head, caller, parent.clone(), requested);
                child.await.map(Outcome::from)
            }
            Route::Program(id) => self.query_info(request, caller, id).await.map(Outcome::from),
            Route::History(id) => self.history(caller, id).await.map(Outcome::from),
            Route::Chat => self.chat(request, caller, &body).await,
            Route::Call(program, target) => {
                let call = service_call(&request.head, target, body);
                let headers = call.headers.iter().map(|(_, value)| value.as_bytes());
                forward::check_no_key(&secret, &headers.collect::<Vec<_>>())?;
                let step = step_or_new(&request.head)?;
                let work = Work::Service(call);
                let call = self.new_call(request, program.clone(), caller, step, work);
                self.call(call, ReplyForm::Service).await.map(Outcome::from)
            }
            Route::Health | Route::Ready | Route::Metrics | Route::Open(_) => {
                Err(Problem::not_run(Reason::Internal, "an open route came here"))
            }
        }
    }

    async fn create(
        &self,
        head: &Head,
        caller: Caller,
        requested: ProgramRequest,
    ) -> Result<Reply, Problem> {
        let class = match requested.class {
            Some(class) => class,
            None => self.backend.default_class(&caller)?,
        };
        let step = body::parse_step_key(head)?;
        let fill = |budget: PartialBudget| budget.with_defaults(self.backend.class_budget(&class));
        let budget = requested.budget.map(fill).transpose()?;
        let request = CreateProgram { class, budget, parent: None, step };
        self.create_program(caller, request).await
    }

    /// Creates a child program with its parent's class.
    async fn create_child(
        &self,
        head: &Head,
        caller: Caller,
        parent: ProgramId,
        requested: ProgramRequest,
    ) -> Result<Reply, Problem> {
        if requested.class.is_some() {
            return Err(Problem::bad_request("class: a child has the class of its parent"));
        }
        let query = self.backend.query(caller.clone(), parent.clone(), ProgramQuery::Info);
        let (info, _) = self.until_withdrawn(&caller, query).await?;
        let step = body::parse_step_key(head)?;
        let budget =
            requested.budget.map(|budget| budget.with_defaults(Some(info.budget))).transpose()?;
        let parent = Some(parent);
        let request = CreateProgram { class: info.class, budget, parent, step };
        self.create_program(caller, request).await
    }

    async fn create_program(
        &self,
        caller: Caller,
        request: CreateProgram,
    ) -> Result<Reply, Problem> {
        let create = self.backend.create(caller.clone(), request);
        let info = self.until_withdrawn(&caller, create).await?;
        let location = format!("/v1/programs/{}", info.program);
        let view = ProgramView::from(&info);
        Ok(Reply::json(StatusCode::Created, &view).with("Location", location))
    }

    async fn query_info(
        &self,
        request: &Request,
        caller: Caller,
        id: &ProgramId,
    ) -> Result<Reply, Problem> {
        let query = match request.head.method {
            Method::Delete => ProgramQuery::End,
            _ => ProgramQuery::Info,
        };
        let query = self.backend.query(caller.clone(), id.clone(), query);
        let (info, _) = self.until_withdrawn(&caller, query).await?;
        Ok(Reply::json(StatusCode::Ok, &ProgramView::from(&info)))
    }

    async fn history(&self, caller: Caller, id: &ProgramId) -> Result<Reply, Problem> {
        let query = self.backend.query(caller.clone(), id.clone(), ProgramQuery::History);
        let (_, messages) = self.until_withdrawn(&caller, query).await?;
        Ok(Reply::json(StatusCode::Ok, &HistoryView { messages }))
    }

    /// Runs a turn in the program named by `Trefoil-Program`, or in an implicit program created for
    /// this request.
    async fn chat(
        &self,
        request: &Request,
        caller: Caller,
        body: &[u8],
    ) -> Result<Outcome<B>, Problem> {
        let turn = body::parse_turn(&request.head, body)?;
        let step = step_or_new(&request.head)?;
        let named =
            request.head.single("trefoil-program")?.map(route::parse_program_id).transpose()?;
        let implicit = match named {
            Some(_) => None,
            None => Some(self.implicit_program(&request.head, &caller).await?),
        };
        let program = named.or_else(|| implicit.as_ref().map(|made| made.program().clone()));
        let Some(program) = program else {
            return Err(Problem::not_run(Reason::Internal, "a turn without a program"));
        };
        let form = match turn.is_streamed {
            true => ReplyForm::StreamedTurn,
            false => ReplyForm::UnstreamedTurn,
        };
        let call = self.new_call(request, program, caller, step, Work::Turn(turn));
        let relayed = self.call(call, form).await?;
        Ok(Outcome { relayed, implicit })
    }

    /// Creates a program for a client that does not use programs and sends the complete history
    /// with each request.
    async fn implicit_program(
        &self,
        head: &Head,
        caller: &Caller,
    ) -> Result<ImplicitProgram<B>, Problem> {
        let class = match head.single("trefoil-class")? {
            Some(class) => body::parse_class(class)?,
            None => self.backend.default_class(caller)?,
        };
        let step = body::parse_step_key(head)?;
        let request = CreateProgram { class, budget: None, parent: None, step };
        let create = self.backend.create(caller.clone(), request);
        let info = self.until_withdrawn(caller, create).await?;
        let executor = Arc::clone(&self.executor);
        Ok(ImplicitProgram::new(self.backend.clone(), executor, caller.clone(), info.program))
    }

    fn new_call(
        &self,
        request: &Request,
        program: ProgramId,
        caller: Caller,
        step: StepKey,
        work: Work,
    ) -> Call {
        Call { request: request.id.clone(), program, caller, step, work }
    }

    async fn call(&self, call: Call, form: ReplyForm) -> Result<RelayReply<B>, Problem> {
        let caller = call.caller.clone();
        let (program, step) = (call.program.to_string(), call.step.to_string());
        let answer = self.until_withdrawn(&caller, self.backend.call(call)).await?;
        let mut relayed = self.relay(Some(caller), answer, form).begin().await?;
        relayed.reply = relayed.reply.with("Trefoil-Program", program).with("Trefoil-Step", step);
        Ok(relayed)
    }

    fn relay(&self, caller: Option<Caller>, answer: Answer, form: ReplyForm) -> Relay<B> {
        Relay { backend: self.backend.clone(), caller, answer, form }
    }

    /// Waits for the backend. Fails as soon as the caller's key is withdrawn.
    async fn until_withdrawn<T>(
        &self,
        caller: &Caller,
        work: impl Future<Output = Result<T, Refusal>>,
    ) -> Result<T, Refusal> {
        let withdrawn = async {
            self.backend.key_withdrawn(caller).await;
            Err(relay::key_withdrawn_refusal())
        };
        or(withdrawn, work).await
    }
}

/// Returns the request's step key, or a new random one.
fn step_or_new(head: &Head) -> Result<StepKey, Problem> {
    let named = body::parse_step_key(head)?;
    Ok(named.unwrap_or_else(|| random_suffix(&mut rand::rng()).into()))
}

fn service_call(head: &Head, target: &Target, body: Vec<u8>) -> ServiceCall {
    ServiceCall {
        service: target.service.clone(),
        method: head.method.to_string(),
        path: target.path.clone(),
        headers: forward::headers_to_service(&head.headers),
        body,
    }
}
