package tillerlink.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;
import tillerlink.model.*;
import tillerlink.model.Engine.Status;
import tillerlink.port.DispatchActions;
import tillerlink.port.DispatchPolicy;

/**
 * All decisions of one gateway: what runs, where, and with how much memory.
 *
 * <p>Callers reach it through {@link tillerlink.port.DispatchPolicyFactory} and {@link
 * DispatchPolicy}, where the interface is defined; it answers through {@link DispatchActions}.
 * Events only change what is known and wanted; {@link #applyDecisions} then reviews what is due,
 * sends what may go, and {@link #emit} alone works out the difference between the wanted and the
 * present state. Times are tenths of a millisecond. The design, and each departure from it, is in
 * docs/design.md.
 */
public final class DefaultDispatchPolicy implements DispatchPolicy {
  // Pressure and the thread bound (design, section "ordinary path", point 4).
  private static final double FAR = 2.0; // a pace this many times the best seen is far above it

  /**
   * The same for the mean age of what is out; nearer the cap, since underrated attempts stay out
   * longest.
   */
  private static final double STALL = 2.6;

  private static final double EASY =
      1.6; // below this many times the best, the bound may grow again
  private static final double BUSY =
      0.95; // a reported share of cores or disks that is a busy report

  /**
   * Threads a core at which the bound starts: a thread is on its core for part of its time only.
   */
  private static final double BOUND_START = 1;

  private static final double CROWD =
      0.25; // share of engines under pressure from which all are bounded
  private static final double ALL_CLASSES =
      1.5; // all classes together, in bounds of one: cores are shared
  private static final double BOUND_LEAST = 0.27;
  private static final double BOUND_CUT = 0.85;
  private static final double BOUND_GROW = 0.05;
  // Measures.
  private static final double ENOUGH = 6; // attempts a pace needs before it can be the best seen
  private static final double PACE_CAP =
      3; // an attempt's pace counts as at most this, in times of the best
  private static final int WARM_GROUPS = 4;
  private static final double LEAST_SPARE =
      0.1; // what bound request classes leave of an engine at the least
  private static final double SLOWER = 1.4; // this much slower than the fleet counts as fewer cores
  // Health.
  private static final double DOUBT_LEAST = 0.7;
  private static final double DOUBT_RATIO =
      0.25; // failures for each success that make an engine doubtful
  private static final double TRIAL_CHANCE = 0.7; // drawn chance of success that earns a trial
  private static final double SILENCE_WEIGHT = 3; // what a silence counts for, in failures
  private static final double TRIAL_CLEARS =
      0.8; // share of the other record that a trial wipes out
  private static final double QUIET = 4; // silence of this many expected times is suspicious
  private static final double QUIET_NOTES =
      1.3; // silence of this many periods of notes is suspicious
  private static final double TRUSTED =
      0.5; // from here on one answer makes up for a remembered list
  // Bad plans.
  private static final double BAD_PLAN =
      4; // an attempt projected at this many times the usual has a bad plan
  private static final double UNKNOWN =
      2; // times the usual while too little of a request class was seen
  private static final double LEAST_SHARE = 0.005;
  // Cold engines.
  private static final double COLD_USE =
      0.35; // share of the stated limit for all gateways together
  private static final double GOLDEN =
      0.6180339887498949; // its multiples spread evenly over 0 to 1
  private static final double PARTS =
      1000; // starts so many parts of a span apart have turns of their own
  private static final int SLICES = 50;
  private static final double LATE_MARGIN =
      1.25; // margin on an estimated latency objective before it is too late
  private static final double GRANT_MARGIN = 1.25;

  private final DispatchActions actions;
  private final Settings settings;
  private final Random random;
  private final long startedAt;
  private final List<RequestClass> requestClasses = new ArrayList<>();
  private final List<Engine> engines = new ArrayList<>();
  private final List<Engine> candidates = new ArrayList<>();
  private final List<Request> changed = new ArrayList<>();
  private final List<Request> fresh = new ArrayList<>();
  private final RequestTimers timers = new RequestTimers();
  private long armedFor = Long.MAX_VALUE;
  private boolean followWanted;
  private long followAgainAt = Long.MAX_VALUE;

  /** What the last survey found; of the pools, the second is that of the engines under pressure. */
  private final double[] poolBounds = new double[2];

  private final double[] poolThreads = new double[2];
  private boolean crowded;
  private boolean blind;
  private EndpointListState listState = EndpointListState.CONFIRMED;
  private final SendGuard guard;
  private double fleetPace = 1;
  private double usualBusy;
  private double allCores;
  private double allWork;

  private final int gateways;

  /** This gateway's among them; one that was not told takes any. */
  private final int place;

  private final boolean mayCancel;
  private final long tick;
  private final long settleTime;

  /** Threads of one query of each request class. */
  private final int oneOfEach;

  private final long minLatencyObjective;
  private final long maxLatencyObjective;
  private final long fallSpan;
  private final long warmWithin;
  private final List<String> reportFields;
  private final SlidingSum taken;
  private final SlidingSum further;
  private final DecayingSum valueSeen;

  /** The pace of all attempts that ended of late, in times of their request classes' best. */
  private final DecayingMean lately;

  public DefaultDispatchPolicy(
      long now, long seed, Map<String, Object> values, DispatchActions actions) {
    this.actions = actions;
    this.settings = new Settings(values);
    random = new Random(seed);
    startedAt = now;
    gateways = (int) Math.max(1, settings.number("instances", 1));
    place = Math.floorMod(settings.number("me", seed), gateways);
    mayCancel = settings.flag("caps.may_cancel");
    tick = settings.number("tick", 1);
    guard = new SendGuard(tick);
    settleTime = settings.number("guarantees.settle_after_doubt", 0) + tick;
    fallSpan = settings.number("guarantees.fall", 0);
    warmWithin = settings.number("guarantees.warm_within", 0);
    reportFields = settings.list("report.fields").stream().map(String::valueOf).toList();
    long least = Long.MAX_VALUE;
    long most = 1;
    for (int i = 0; i < settings.number("profiles", 0); i++) {
      RequestClassConfig terms = terms(i);
      least = Math.min(least, terms.latencyObjective());
      most = Math.max(most, terms.latencyObjective());
      requestClasses.add(
          new RequestClass(
              i,
              terms,
              new DecayingMean(terms.deadline() * 4.0, 1, 4),
              new DecayingMean(terms.deadline() * 4.0, 1, 4),
              new DecayingMean(
                  terms.deadline() * 4.0,
                  terms.latencyObjective() * terms.threadsPerRequest() / FAR,
                  1),
              new DecayingMean(terms.latencyObjective() * 4.0, 1, 1e-6)));
    }
    oneOfEach =
        requestClasses.stream()
            .mapToInt(requestClass -> requestClass.config.threadsPerRequest())
            .sum();
    minLatencyObjective = least;
    maxLatencyObjective = most;
    long budgetSpan = settings.number("guarantees.budget_span", 0);
    taken = budgetSpan > 0 ? new SlidingSum(budgetSpan, SLICES) : null;
    further = budgetSpan > 0 ? new SlidingSum(budgetSpan, SLICES) : null;
    valueSeen = new DecayingSum(maxLatencyObjective * 16.0);
    lately = new DecayingMean(maxLatencyObjective, 1, 2);
    requestClasses.forEach(
        requestClass -> requestClass.offeredWork = new DecayingSum(maxLatencyObjective * 16.0));
    followWanted = settings.text("discovery").equals("ask");
  }

  private RequestClassConfig terms(int i) {
    String at = "profiles." + i + ".";
    Effect effect =
        switch (settings.text(at + "semantics")) {
          case "repeatable" -> Effect.PURE;
          case "by_key" -> Effect.RECEIPTED;
          default -> Effect.EFFECTFUL;
        };
    DeduplicationGroup circle =
        switch (settings.text(at + "group")) {
          case "all" -> DeduplicationGroup.ALL;
          case "zone" -> DeduplicationGroup.ZONE;
          default -> DeduplicationGroup.CELL;
        };
    long deadline = settings.number(at + "hard_limit", 1);
    return new RequestClassConfig(
        effect,
        circle,
        settings.number(at + "window", 0),
        Math.max(1, settings.number(at + "aim", deadline)),
        settings.amount(at + "aim_stretch", 0),
        deadline,
        settings.amount(at + "worth", 1),
        settings.amount(at + "late_worth", 0),
        (int) Math.max(1, settings.nth("family_info.width_by_class", i, 1)),
        settings.nthFlag("family_info.loads", i),
        settings.nthFlag("family_info.waits_for_loads", i),
        settings.flag(at + "keep_order"),
        settings.numbers(at + "zones_open"),
        settings.numbers(at + "models_allowed"));
  }

  // ---- events ----

  @Override
  public void onEndpointsChanged(long now, boolean whole, List<EndpointUpdate> entries) {
    if (whole) {
      engines.forEach(engine -> engine.status = Status.GONE);
    }
    for (EndpointUpdate entry : entries) {
      Engine engine = entry.engine();
      if (!engine.registered) {
        prepare(engine);
        engine.registered = true;
        engines.add(engine);
      }
      if (entry.startedAt() != engine.startedAt) {
        engine.resetHistory(BOUND_START);
      }
      engine.kind = entry.kind();
      engine.zone = entry.zone();
      engine.cell = entry.cell();
      engine.status = entry.status();
      engine.startedAt = entry.startedAt();
      engine.trust = entry.trust();
    }
    engines.removeIf(this::forgotten);
    followAgainAt = Long.MAX_VALUE;
  }

  private boolean forgotten(Engine engine) {
    engine.registered = engine.status != Status.GONE || !engine.inFlight.isEmpty();
    return !engine.registered;
  }

  private void prepare(Engine engine) {
    engine.inFlightByClass = new int[requestClasses.size()];
    engine.successes = new DecayingSum(maxLatencyObjective * 4.0);
    engine.failures = new DecayingSum(maxLatencyObjective * 4.0);
    engine.abandonedThreads = new DecayingSum(maxLatencyObjective * 4.0);
    engine.pace = new DecayingMean(maxLatencyObjective, 1, 2);
    engine.workSent = new SlidingSum(Math.max(1, fallSpan), SLICES);
    engine.concurrencyFactor = BOUND_START;
  }

  @Override
  public void onEndpointsUnknown(long now, boolean on) {
    blind = on;
  }

  @Override
  public void onEndpointListStateChanged(long now, EndpointListState state, long usableUntil) {
    listState = state;
    guard.setListUsableUntil(usableUntil);
  }

  @Override
  public void onEndpointPollFailed(long now) {
    if (settings.text("discovery").equals("ask")) {
      long pause =
          Math.max(tick, settings.number("guarantees.ask_within", 10 * minLatencyObjective) / 10);
      followAgainAt = now + (long) (pause * (0.5 + random.nextDouble()));
    }
  }

  @Override
  public void onRequestArrived(long now, Request s) {
    s.requestClass = requestClasses.get(s.classIndex);
    if (taken != null) {
      taken.add(now, 1);
    }
    valueSeen.add(now, s.requestClass.config.priorityWeight());
    s.requestClass.offeredWork.add(
        now,
        Math.min(
            work(now, s),
            s.requestClass.config.deadline() * s.requestClass.config.threadsPerRequest()));
    if (s.ordered()) {
      s.keyQueue.requests.addLast(s);
      timers.set(s, tooLateAt(now, s));
      advance(now, s);
    } else {
      hold(s, false);
    }
  }

  @Override
  public void onResponseStarted(long now, Attempt attempt) {
    attempt.request.responseStarted = true;
    attempt.engine.lastResponseAt = now;
  }

  @Override
  public void onAttemptProgress(long now, Attempt attempt, AttemptProgress note, double level) {
    if (!attempt.isInFlight()) {
      return;
    }
    attempt.engine.lastResponseAt = now;
    if (note == AttemptProgress.PROGRESS) {
      attempt.completedShare = level;
      judgeProgress(now, attempt);
    }
  }

  @Override
  public void onAttemptEnded(
      long now,
      Attempt attempt,
      AttemptOutcome outcome,
      long lag,
      boolean answered,
      double work,
      double memory,
      double[] report) {
    Request s = attempt.request;
    Engine engine = attempt.engine;
    attempt.outcome = outcome;
    s.attemptsInFlight--;
    engine.attemptEnded(attempt);
    judge(now, attempt, outcome);
    read(now, engine, report);
    if (outcome == AttemptOutcome.SUCCEEDED) {
      learn(now, attempt, lag, work, memory);
    }
    if (answered) {
      close(
          s,
          outcome == AttemptOutcome.SUCCEEDED
              ? RequestOutcome.SUCCEEDED
              : RequestOutcome.CLIENT_DISCONNECTED);
    }
    if (s.ordered() && outcome.mayStillBeRunning) {
      s.keyQueue.cooldownUntil = Math.max(s.keyQueue.cooldownUntil, now + settleTime);
    }
    if (s.outcome == null && s.attemptsInFlight == 0) {
      onward(now, s);
    }
    advance(now, s);
  }

  @Override
  public void onClientDisconnected(long now, Request s) {
    close(s, RequestOutcome.CLIENT_DISCONNECTED);
    advance(now, s);
  }

  /**
   * Guards engines against work that nobody waits for: no attempt begins until the client calls
   * again.
   */
  @Override
  public void onClientAttendanceChanged(long now, Request s, boolean on) {
    s.unattended = on;
    if (on && s.requestClass.queue.remove(s)) {
      s.queued = false;
      timers.set(s, tooLateAt(now, s));
    } else if (!on && s.outcome == null && !s.queued && s.attemptsInFlight == 0) {
      if (!s.attempts.isEmpty()) {
        onward(now, s);
      } else if (s.ordered()) {
        advance(now, s);
      } else {
        hold(s, true);
      }
    }
  }

  @Override
  public SendVerdict checkWrite(long now, Attempt attempt) {
    SendVerdict verdict = guard.checkWrite(now, attempt);
    if (verdict == SendVerdict.ALLOWED && attempt.number > 0 && !withinBudget(now, 0)) {
      return SendVerdict.RETRY_BUDGET;
    }
    return verdict;
  }

  @Override
  public long writeDeadline(long now, Attempt attempt) {
    return guard.writeDeadline(now, attempt);
  }

  private void close(Request s, RequestOutcome outcome) {
    if (s.outcome == null) {
      s.outcome = outcome;
      s.notified = true;
      cancelAll(s);
    }
  }

  @Override
  public void onShutdownDeadline(long now, Request s) {
    if (s.outcome == null) {
      giveUp(now, s, TerminationReason.SHUTDOWN);
    }
  }

  @Override
  public void onWakeup(long now) {
    armedFor = Long.MAX_VALUE;
  }

  @Override
  public void applyDecisions(long now) {
    for (Request due = timers.due(now); due != null; due = timers.due(now)) {
      review(now, due);
    }
    if (followAgainAt <= now) {
      followAgainAt = Long.MAX_VALUE;
      followWanted = true;
    }
    survey(now);
    pump(now);
    emit(now);
  }

  // ---- the one place where wanted and present state are compared ----

  private void emit(long now) {
    if (followWanted) {
      followWanted = false;
      actions.watchEndpoints();
    }
    for (Request s : changed) {
      s.reconcilePending = false;
      if (s.outcome != null && !s.notified) {
        s.notified = true;
        if (s.outcome == RequestOutcome.REJECTED) {
          actions.rejectRequest(s, s.retryAfter);
        } else {
          actions.failRequest(s);
        }
      }
      if ((s.priority != s.prioritySent || s.grant != s.grantSent) && s.attemptsInFlight > 0) {
        s.prioritySent = s.priority;
        s.grantSent = s.grant;
        actions.updatePriorityAndGrant(s, s.priority, s.grant);
      }
      for (Attempt attempt : s.attempts) {
        if (!attempt.sent) {
          attempt.sent = true;
          actions.sendAttempt(attempt);
        }
        if (attempt.cancelRequested && !attempt.cancelSent && attempt.isInFlight()) {
          attempt.cancelSent = true;
          actions.cancelAttempt(attempt);
        }
      }
    }
    changed.clear();
    long next = Math.min(timers.next(), followAgainAt);
    if (next < armedFor) {
      armedFor = Math.max(next, now + 1);
      actions.scheduleWakeup(armedFor);
    }
  }

  private void change(Request s) {
    if (!s.reconcilePending) {
      s.reconcilePending = true;
      changed.add(s);
    }
  }

  // ---- queues ----

  private void hold(Request s, boolean first) {
    if (s.unattended) {
      return;
    }
    s.queued = true;
    if (first) {
      s.requestClass.queue.addFirst(s);
    } else {
      s.requestClass.queue.addLast(s);
    }
    fresh.add(s);
  }

  /**
   * Sends what may go: of the queues' heads, the one that has used most of its time, while any
   * fits.
   */
  private void pump(long now) {
    BitSet blocked = new BitSet(requestClasses.size());
    while (true) {
      RequestClass next = null;
      double most = -1;
      for (RequestClass requestClass : requestClasses) {
        Request head = requestClass.firstQueued();
        if (head != null && !blocked.get(requestClass.index)) {
          double used = (double) (now - head.arrivedAt) / latencyObjective(now, head);
          if (used > most) {
            most = used;
            next = requestClass;
          }
        }
      }
      if (next == null) {
        break;
      }
      Request s = next.queue.peekFirst();
      TerminationReason hindrance = hindrance(now, s);
      if (hindrance != null) {
        giveUp(now, s, hindrance);
        continue;
      }
      Engine engine = choose(now, s);
      if (engine == null) {
        blocked.set(next.index);
      } else {
        next.queue.pollFirst();
        s.queued = false;
        place(now, s, engine);
      }
    }
    shed(now);
    fresh.clear();
  }

  /** Why a request that waits for an engine can't be sent to any, now or later; null if it can. */
  private TerminationReason hindrance(long now, Request s) {
    if (blind || listState == EndpointListState.EXPIRED) {
      return TerminationReason.ENGINES_UNKNOWN;
    }
    if (hopeless(now, s)) {
      return TerminationReason.NO_TIME_LEFT;
    }
    return !s.attempts.isEmpty() && !budgetLeft(now) ? TerminationReason.RETRY_BUDGET : null;
  }

  /**
   * Held, and no longer able to be answered within its latency objective. Guards against clients
   * that come with little time: while all are bounded, what they leave before it can end is not
   * even sent once.
   */
  private boolean hopeless(long now, Request s) {
    return now >= hopelessAt(now, s)
        && (now > s.arrivedAt || crowded && now + usual(now, s) >= lastMoment(s));
  }

  private long hopelessAt(long now, Request s) {
    return Math.min(softEnd(now, s) - usual(now, s) + 1, lastMoment(s));
  }

  /**
   * Guards against a queue in which all wait too long to pay: the longer the head has waited, the
   * smaller a new one must be, against its request class's mean, to be kept. It may hurt when one
   * long wait is no queue.
   */
  private void shed(long now) {
    for (int i = 0; i < fresh.size(); i++) {
      Request s = fresh.get(i);
      if (!s.queued || s.outcome != null) {
        continue;
      }
      timers.set(s, Math.max(now + tick, hopelessAt(now, s)));
      Request head = s.requestClass.firstQueued();
      if (head == s || !s.attempts.isEmpty()) {
        continue;
      }
      double most = Math.max(1, latencyObjective(now, head) - usual(now, head));
      double used = (now - head.arrivedAt) / most;
      double limit = s.requestClass.work.at(now) * Math.max(0, 1 - used) / Math.max(1e-3, used);
      if (work(now, s) > limit) {
        giveUp(now, s, TerminationReason.QUEUE_TOO_LONG);
      }
    }
  }

  private void giveUp(long now, Request s, TerminationReason reason) {
    s.terminationReason = reason;
    boolean back = mayReject(s);
    s.outcome = back ? RequestOutcome.REJECTED : RequestOutcome.FAILED;
    if (back && settings.flag("caps.retry_after")) {
      s.retryAfter = settings.number("caps.max_retry_after", 0);
    }
    change(s);
    cancelAll(s);
    advance(now, s);
  }

  private void cancelAll(Request s) {
    s.attempts.forEach(this::cancel);
  }

  private void cancel(Attempt attempt) {
    if (mayCancel && attempt.sent && attempt.isInFlight()) {
      attempt.cancelRequested = true;
      change(attempt.request);
    }
  }

  /**
   * Lets the next of a key's requests into its queue when all before it are over and have rested.
   */
  private void advance(long now, Request s) {
    Request head = s.ordered() ? s.keyQueue.firstUnfinished() : null;
    if (head == null || head.outcome != null || head.queued || !head.attempts.isEmpty()) {
      return;
    }
    if (now >= s.keyQueue.cooldownUntil) {
      hold(head, false);
    } else if (s.keyQueue.cooldownUntil < head.wakeAt) {
      timers.set(head, s.keyQueue.cooldownUntil);
    }
  }

  // ---- the mechanism: choice of the engine ----

  /** The engine for a request, or null if it must be held. */
  private Engine choose(long now, Request s) {
    candidates.clear();
    boolean sound = false;
    survey(now);
    Room best = Room.NONE;
    Engine likeliest = null;
    double chance = -1;
    for (Engine engine : engines) {
      if (!open(now, s, engine) || !coldRoom(now, engine, work(now, s)) || !proven(s, engine)) {
        continue;
      }
      if (doubtful(now, engine)) {
        // Drawn from the posterior of its chance of success, so that it is never quite forgotten.
        double drawn =
            BetaDistribution.draw(
                random, 1 + engine.successes.at(now), 1 + engine.failures.at(now));
        if (engine.healthChecksInFlight == 0 && drawn > chance) {
          chance = drawn;
          likeliest = engine;
        }
        continue;
      }
      sound = true;
      Room room = room(now, engine, s.requestClass);
      if (room.compareTo(best) < 0) {
        candidates.clear();
        best = room;
      }
      if (room == best && room != Room.NONE) {
        candidates.add(engine);
      }
    }
    boolean trial =
        likeliest != null && s.requestClass.config.effect() == Effect.PURE && chance > TRIAL_CHANCE;
    if (likeliest != null && (trial || !sound)) {
      return likeliest;
    }
    if (candidates.isEmpty() || spent(best)) {
      return null;
    }
    stepAside(e -> s.attempts.stream().anyMatch(h -> h.engine == e));
    if (s.requestClass.config.loadsTableGroup() || s.requestClass.config.waitsForTableGroupLoad()) {
      stepAside(e -> e.loadsTableGroup(s.tableGroup));
    }
    return fewest(now, s);
  }

  /**
   * Guards a start from a remembered list: until an engine of it has answered, few attempts go
   * there, and none that must not run twice or is bound to some engines; of an old list these wait
   * until it is confirmed. It may hurt a gateway that has little else.
   */
  private boolean proven(Request s, Engine engine) {
    boolean heard = engine.lastResponseAt >= startedAt;
    if (engine.trust >= 1 || heard && engine.trust >= TRUSTED) {
      return true;
    }
    RequestClassConfig terms = s.requestClass.config;
    return terms.effect() == Effect.PURE
        && terms.engineKinds() == null
        && terms.zones() == null
        && (heard || engine.inFlight.size() < Math.max(1, engine.trust * bound(engine)));
  }

  /** Engines of which the test holds step aside while another remains. */
  private void stepAside(Predicate<Engine> aside) {
    if (!candidates.stream().allMatch(aside)) {
      candidates.removeIf(aside);
    }
  }

  /**
   * LBQP: fewest of the class per core; over the expected average steps aside; warmth breaks ties.
   */
  private Engine fewest(long now, Request s) {
    double cores = 0;
    double queries = 1;
    for (Engine engine : candidates) {
      double own = effectiveCores(now, engine) * spare(now, engine, s.requestClass);
      engine.spareCores = own;
      engine.classLoad =
          engine.inFlightByClass[s.classIndex] / own
              + (recent(now, engine) ? engine.reportedQueries / cores(engine) : 0);
      // Guards against a jammed engine that answers nothing: after a while it would look idle.
      engine.load =
          (engine.threadsInFlight + s.requestClass.config.threadsPerRequest()) / own
              + (recent(now, engine)
                  ? engine.reportedUtilization
                  : Math.max(usualBusy, engine.reportedUtilization));
      cores += own;
      queries += engine.classLoad * own;
    }
    double average = queries / cores;
    stepAside(e -> e.classLoad > average);
    double least = candidates.stream().mapToDouble(e -> e.classLoad).min().orElse(0);
    candidates.removeIf(e -> e.classLoad > least + 1e-9);
    double usualLoad = candidates.stream().mapToDouble(e -> e.load).average().orElse(0);
    Engine best = null;
    double bestRating = Double.MAX_VALUE;
    for (Engine engine : candidates) {
      // Warmth breaks ties, but not towards an engine that other classes keep busier than the rest:
      // a
      // hot group would heap its long queries there. Before it comes a cold engine whose turn it
      // is: a
      // turn that finds no attempt leaves it idle. Then the least load, with a chance draw by
      // cores:
      // guards
      // against many gateways that know little and would choose alike. It costs crossings.
      boolean warm =
          engine.recentTableGroups.contains(s.tableGroup) && engine.load <= usualLoad + 1e-9;
      double chance = -Math.log(1 - random.nextDouble()) / engine.spareCores;
      double rating = (engine.usesSlowStartSlot ? -1000 : warm ? 0 : 1000) + engine.load + chance;
      if (rating < bestRating) {
        bestRating = rating;
        best = engine;
      }
    }
    return best;
  }

  private boolean recent(long now, Engine engine) {
    return now < engine.reportedAt + maxLatencyObjective;
  }

  private double cores(Engine engine) {
    return Math.max(1, settings.nth("family_info.kind_cores", engine.kind, 1));
  }

  /** An engine slower than the fleet, or still cold, counts with the cores it seems to have. */
  private double effectiveCores(long now, Engine engine) {
    double slower = engine.pace.at(now) / fleetPace;
    return cores(engine) * warmth(now, engine) / (slower > SLOWER ? slower : 1);
  }

  /**
   * The share of an engine that the other request classes bound to a part of the fleet leave, by
   * the work seen of each. Guards against that part being filled twice: counts of one class do not
   * show it, and where a gateway's counts are mostly zero nothing does. It may hurt while estimates
   * are far off by request class.
   */
  private double spare(long now, Engine engine, RequestClass requestClass) {
    double bound = 0;
    for (RequestClass other : requestClasses) {
      if (other != requestClass && other.eligibleCores < allCores && other.config.allows(engine)) {
        bound += other.offeredWork.at(now) / other.eligibleCores;
      }
    }
    return Math.max(LEAST_SPARE, 1 - bound * allCores / Math.max(1, allWork));
  }

  // ---- the thread bound ----

  /**
   * Guards against a jam that hides itself: an engine that answers little gives no pace, so the age
   * of what is out there counts too, and 1.5 times its cores in threads from here alone: a gateway
   * just started sends these before it learns. It should hold against any stall; it may hurt where
   * estimates are poor.
   */
  private boolean stalled(long now, Engine engine) {
    double ages = 0;
    for (Attempt attempt : engine.inFlight) {
      RequestClass requestClass = attempt.request.requestClass;
      double usual =
          requestClass.bestPace > 0
              ? attempt.nominalTime * requestClass.bestPace
              : requestClass.config.latencyObjective() / FAR;
      ages += Math.min(PACE_CAP, (now - attempt.sentAt) / Math.max(1, usual));
    }
    return ages > STALL * engine.inFlight.size()
        || engine.threadsInFlight >= ALL_CLASSES * cores(engine);
  }

  /** What room an engine has under the bound; those with a better one come first. */
  private enum Room {
    BOUND,
    ONE,
    LAST,
    NONE
  }

  /**
   * Within its bound, or room for the one query that may always fly. Guards against a jam that
   * never drains: one of each gateway may be more than it bears, so under pressure it comes last,
   * and alone.
   */
  private Room room(long now, Engine engine, RequestClass requestClass) {
    boolean pressed = now < engine.overloadedUntil;
    int width = requestClass.config.threadsPerRequest();
    int own = engine.inFlightByClass[requestClass.index] * width;
    double bound = bound(engine);
    double threads = threads(now, engine);
    boolean within = (own > 0 ? own < bound : width <= bound) && threads < ALL_CLASSES * bound;
    if (within || !crowded && !pressed) {
      return Room.BOUND;
    }
    double most = Math.max(ALL_CLASSES * bound, pressed ? width : oneOfEach);
    return own > 0 || threads + width > most ? Room.NONE : pressed ? Room.LAST : Room.ONE;
  }

  /**
   * Whether what is out on the engines with or without pressure is above their bounds together.
   * Guards against a jam held up by the one query that may fly; it may hurt a gateway with most of
   * the traffic.
   */
  private boolean spent(Room room) {
    int pool = room == Room.LAST ? 1 : 0;
    return room != Room.BOUND
        && poolThreads[pool] >= ALL_CLASSES * Math.max(poolBounds[pool], oneOfEach);
  }

  /**
   * Sums up the ready engines. Pressure or doubt at a quarter of them bounds all, and so does a
   * full pool, but while the attempts of late came back at an easy pace: a gateway may have several
   * times its share of the traffic. Guards against a chain of falls: what these may not have would
   * all go to the next that shows nothing yet. It may hurt while the rest are idle.
   */
  private void survey(long now) {
    int ready = 0;
    int sound = 0;
    int pressed = 0;
    int heard = 0;
    double paces = 0;
    usualBusy = 0;
    allCores = 0;
    allWork = 0;
    for (RequestClass requestClass : requestClasses) {
      allWork += requestClass.offeredWork.at(now);
      requestClass.eligibleCores = 0;
    }
    Arrays.fill(poolBounds, 0);
    Arrays.fill(poolThreads, 0);
    for (Engine engine : engines) {
      if (engine.status != Status.READY) {
        continue;
      }
      if (stalled(now, engine)) {
        press(now, engine);
        cutBound(now, engine);
      }
      ready++;
      allCores += cores(engine);
      for (RequestClass requestClass : requestClasses) {
        requestClass.eligibleCores += requestClass.config.allows(engine) ? cores(engine) : 0;
      }
      boolean under = now < engine.overloadedUntil;
      boolean doubt = doubtful(now, engine);
      pressed += under || doubt ? 1 : 0;
      sound += doubt ? 0 : 1;
      paces += doubt ? 0 : engine.pace.at(now);
      heard += recent(now, engine) ? 1 : 0;
      usualBusy += recent(now, engine) ? engine.reportedUtilization : 0;
      poolBounds[under ? 1 : 0] += bound(engine);
      poolThreads[under ? 1 : 0] += threads(now, engine);
    }
    boolean easy = lately.weight(now) >= ENOUGH && lately.at(now) < EASY;
    crowded = pressed >= CROWD * ready || !easy && (spent(Room.ONE) || spent(Room.LAST));
    fleetPace = sound == 0 ? 1 : paces / sound;
    usualBusy /= Math.max(1, heard);
  }

  /**
   * Threads out, and those of attempts that timed out where nothing can be cancelled. Guards
   * against work that runs on unseen and keeps a jam alive, on an engine heard meanwhile: after a
   * cut nothing may have run.
   */
  private double threads(long now, Engine engine) {
    return engine.threadsInFlight + engine.abandonedThreads.at(now);
  }

  private double bound(Engine engine) {
    return cores(engine) / gateways * engine.concurrencyFactor;
  }

  private void press(long now, Engine engine) {
    engine.overloadedUntil = now + maxLatencyObjective;
  }

  /**
   * The bound's figure falls while the pace is far above the best seen and grows again while it is
   * not.
   */
  private void adjustBound(long now, Engine engine) {
    double pace = engine.pace.at(now);
    if (pace > FAR) {
      press(now, engine);
      cutBound(now, engine);
    } else if (pace < EASY
        && (fullest(engine) + 1 >= bound(engine)
            || requestClasses.stream().anyMatch(t -> t.firstQueued() != null))) {
      engine.concurrencyFactor =
          Math.min(gateways * FAR / ALL_CLASSES, engine.concurrencyFactor + BOUND_GROW);
    }
  }

  /** Threads out of the fullest class, or the sum of all in class bounds. */
  private double fullest(Engine engine) {
    return Math.max(engine.threadsOfLargestClass(), engine.threadsInFlight / ALL_CLASSES);
  }

  private void cutBound(long now, Engine engine) {
    if (now >= engine.limitReducedAt) {
      double used = fullest(engine) / (cores(engine) / gateways);
      double from = Math.min(engine.concurrencyFactor, Math.max(used, BOUND_START));
      engine.concurrencyFactor = Math.max(BOUND_LEAST, from * BOUND_CUT);
      engine.limitReducedAt = now + minLatencyObjective;
    }
  }

  // ---- rule guards ----

  /** Where a request may go now. */
  private boolean open(long now, Request s, Engine engine) {
    return guard.checkPlacement(now, s, engine) == SendVerdict.ALLOWED;
  }

  /** Where it may go now, or once the list is confirmed or the engine is warm. */
  private boolean openLater(long now, Request s, Engine engine) {
    return guard.checkEndpoint(now, s, engine) == SendVerdict.ALLOWED;
  }

  private boolean mayReject(Request s) {
    RequestClassConfig terms = s.requestClass.config;
    return terms.effect() == Effect.PURE
        || (terms.effect() == Effect.RECEIPTED
            && terms.deduplicationGroup() == DeduplicationGroup.ALL)
        || s.attempts.stream().noneMatch(Attempt::mayHaveRun);
  }

  private boolean budgetLeft(long now) {
    return withinBudget(now, 1);
  }

  /**
   * @param more retries that are about to be placed, beside those that were
   */
  private boolean withinBudget(long now, int more) {
    return further == null
        || further.upperBound(now) + more
            <= settings.amount("guarantees.extra_floor", 0)
                + settings.amount("guarantees.further_ratio", 0) * taken.lowerBound(now);
  }

  /**
   * The share of its capacity that an engine surely has; how it warms is not told, so slowly at
   * first.
   */
  private double warmth(long now, Engine engine) {
    long started = Math.max(engine.startedAt, engine.restartSeenAt);
    if (started <= 0 || now - started >= warmWithin) {
      return 1;
    }
    double gone = Math.max(0, (double) (now - started) / warmWithin);
    double start = settings.amount("guarantees.start_capacity", 1);
    return start + (1 - start) * gone * gone;
  }

  /**
   * Guards a cold engine: this gateway's part of the span, rounded to whole attempts by its turn.
   * One just started may have spent it before; in the first span the sum grows from nothing: others
   * are told late.
   */
  private boolean coldRoom(long now, Engine engine, double work) {
    double warmth = warmth(now, engine);
    engine.usesSlowStartSlot = false;
    if (warmth >= 1 || fallSpan <= 0) {
      return true;
    }
    long up = now - Math.max(engine.startedAt, engine.restartSeenAt);
    double bears = settings.amount("guarantees.fall_multiple", 1) * warmth * cores(engine);
    double all = bears * Math.max(0, Math.min(up, fallSpan)) * COLD_USE;
    double left = all / gateways - engine.workSent.upperBound(now);
    engine.usesSlowStartSlot = work > left;
    return now >= startedAt + fallSpan && work <= all && turn(up, now - up) * work <= left;
  }

  /**
   * From this share of an attempt on, the part is rounded up. Those of all gateways lie evenly
   * between 0 and 1: the sum keeps by construction what draws keep on average; each one's moves
   * evenly from span to span.
   */
  private double turn(long up, long started) {
    double spans = Math.floor((double) up / fallSpan + place * GOLDEN % 1);
    double turn =
        (place + 0.5) / gateways + (spans + started / (double) fallSpan * PARTS) * GOLDEN % 1;
    return 1 - turn % 1;
  }

  // ---- attempts ----

  private void place(long now, Request s, Engine engine) {
    double nominal = work(now, s) / s.requestClass.config.threadsPerRequest();
    long expected =
        (long) (nominal * s.requestClass.bestPaceOrDefault() * Math.max(1, engine.pace.at(now)));
    s.priority = rank(now, s);
    double memory = s.memoryEstimate * s.requestClass.memoryBias.at(now) * GRANT_MARGIN;
    if (settings.flag("family_info.grants") && memory > 0) {
      double most =
          settings.amount("family_info.max_grant_share", 1)
              * settings.nth("family_info.size_mb", engine.kind, 0);
      s.grant = (long) Math.ceil(most > 0 ? Math.min(memory, most) : memory);
    }
    if (!s.attempts.isEmpty() && further != null) {
      further.add(now, 1);
    }
    Attempt attempt = new Attempt(s, engine, now, expected, nominal, doubtful(now, engine));
    s.attempts.add(attempt);
    s.attemptsInFlight++;
    engine.attemptStarted(attempt, WARM_GROUPS);
    engine.workSent.add(now, work(now, s));
    change(s);
    timers.set(s, Math.min(lastMoment(s), now + quietLimit(s, attempt)));
  }

  private int rank(long now, Request s) {
    double usual = valueSeen.at(now) / Math.max(1, allWork);
    double dense = s.requestClass.config.priorityWeight() / Math.max(1, work(now, s)) / usual;
    return dense >= 4 ? 3 : dense >= 1 ? 2 : dense >= 0.25 ? 1 : 0;
  }

  /**
   * After an attempt that did not fulfil: another, if the rules, the budget and the time left allow
   * it.
   */
  private void onward(long now, Request s) {
    if (worthAnother(now, s)) {
      hold(s, true);
    } else {
      giveUp(now, s, TerminationReason.NO_FURTHER_ATTEMPT);
    }
  }

  private boolean worthAnother(long now, Request s) {
    return !s.unservable
        && s.attempts.size() < settings.number("caps.max_attempts", 1)
        && budgetLeft(now)
        && now + usual(now, s) < tooLateAt(now, s)
        && engines.stream().anyMatch(e -> openLater(now, s, e));
  }

  /** What is due for a request: its end, or a look at the attempt that is out. */
  private void review(long now, Request s) {
    if (s.responseStarted) {
      return;
    }
    if (now >= tooLateAt(now, s)) {
      giveUp(now, s, TerminationReason.TOO_LATE);
      return;
    }
    if (s.attemptsInFlight == 0) {
      advance(now, s);
      if (s.queued && hopeless(now, s)) {
        giveUp(now, s, TerminationReason.NO_TIME_LEFT);
      } else if (s.wakeAt == Long.MAX_VALUE) {
        timers.set(s, s.queued ? Math.max(now + tick, hopelessAt(now, s)) : tooLateAt(now, s));
      }
      return;
    }
    Attempt attempt = s.attempts.get(s.attempts.size() - 1);
    long quiet = now - Math.max(attempt.engine.lastResponseAt, attempt.sentAt);
    if (quiet >= quietLimit(s, attempt)) {
      suspect(now, attempt);
    }
    long look =
        attempt.cancelRequested
            ? minLatencyObjective
            : Math.max(quietLimit(s, attempt) - Math.max(0, quiet), minLatencyObjective / 4);
    timers.set(s, Math.min(tooLateAt(now, s), now + look));
  }

  /**
   * How long an engine may say nothing before an attempt there is in doubt. Where it sends notes,
   * these tell: guards against cancelling what was only underrated, where a gateway with little
   * traffic hears nothing else of the engine. It may hurt short request classes on an engine that
   * fell silent.
   */
  private long quietLimit(Request s, Attempt attempt) {
    long noteEvery = settings.number("family_info.tells_every", 0);
    return (long)
        (noteEvery > 0
            ? Math.max(QUIET_NOTES * noteEvery, minLatencyObjective / 2.0)
            : Math.max(
                QUIET * attempt.expectedTime, s.requestClass.config.latencyObjective() / 2.0));
  }

  private void suspect(long now, Attempt attempt) {
    Engine engine = attempt.engine;
    if (!doubtful(now, engine)) {
      engine.failures.add(now, SILENCE_WEIGHT + DOUBT_RATIO * engine.successes.at(now));
    }
    if (mayRetryAfterCancel(now, attempt.request)) {
      cancel(attempt);
    }
  }

  /** Whether another attempt could follow if the one that is out were cancelled now. */
  private boolean mayRetryAfterCancel(long now, Request s) {
    return s.requestClass.config.effect() != Effect.EFFECTFUL && worthAnother(now, s);
  }

  /**
   * Guards against bad plans, and against an attempt stuck alone: what its notes project far beyond
   * the usual is sent anew; of an unknown request class more is asked. It may hurt where single
   * estimates are far too low.
   */
  private void judgeProgress(long now, Attempt attempt) {
    long age = now - attempt.sentAt;
    double projected = age / Math.max(LEAST_SHARE, attempt.completedShare);
    RequestClass requestClass = attempt.request.requestClass;
    double known = requestClass.bestPace > 0 ? 1 : UNKNOWN;
    double usual =
        known
            * attempt.nominalTime
            * Math.max(
                requestClass.pace.at(now),
                requestClass.bestPaceOrDefault() * Math.max(1, attempt.engine.pace.at(now)));
    double pace =
        projected / attempt.nominalTime / attempt.request.requestClass.bestPaceOrDefault();
    attempt.engine.pace.add(now, Math.min(PACE_CAP, pace), 0.5);
    adjustBound(now, attempt.engine);
    if (projected > BAD_PLAN * usual
        && projected - age > FAR * usual
        && attempt.request.outcome == null
        && mayRetryAfterCancel(now, attempt.request)) {
      cancel(attempt);
    }
  }

  // ---- measures ----

  private void judge(long now, Attempt attempt, AttemptOutcome outcome) {
    Engine engine = attempt.engine;
    engine.lastResponseAt = outcome.engineResponded ? now : engine.lastResponseAt;
    switch (outcome) {
      case SUCCEEDED -> count(now, attempt, engine.successes, 1, engine.failures);
      // Guards against an engine that fails or refuses at once: its empty counts would draw its
      // class.
      case REJECTED -> {
        count(now, attempt, engine.failures, 1, engine.successes);
        press(now, engine);
        cutBound(now, engine);
      }
      // Guards against a request that no engine can use: the second that errs speaks for the
      // first.
      case FAILED -> {
        Engine before = attempt.request.otherFailedEngine(engine);
        attempt.request.unservable = before != null;
        if (before == null) {
          count(now, attempt, engine.failures, 1, engine.successes);
        } else {
          before.failures.add(now, -1);
        }
      }
      case CONNECT_FAILED -> count(now, attempt, engine.failures, SILENCE_WEIGHT, engine.successes);
      // Guards against a restart that the list tells late: a process that dropped its connections
      // comes
      // back cold. One alone is the network's; two with nothing heard between are the process'.
      case CONNECTION_LOST -> {
        boolean fell = engine.lastResponseAt < engine.connectionLostAt;
        count(now, attempt, engine.failures, fell ? SILENCE_WEIGHT : 1, engine.successes);
        engine.restartSeenAt = fell ? now : engine.restartSeenAt;
        engine.connectionLostAt = now;
      }
      case TIMED_OUT -> {
        if (engine.lastResponseAt < attempt.sentAt) {
          engine.failures.add(now, 1);
        } else if (!mayCancel) {
          engine.abandonedThreads.add(now, attempt.request.requestClass.config.threadsPerRequest());
        }
      }
      default -> {}
    }
  }

  /** A trial tells of now: its outcome wipes out most of what spoke for the other. */
  private void count(long now, Attempt attempt, DecayingSum sum, double weight, DecayingSum other) {
    sum.add(now, weight);
    if (attempt.healthCheck) {
      other.add(now, -TRIAL_CLEARS * other.at(now));
    }
  }

  private void learn(long now, Attempt attempt, long lag, double work, double memory) {
    Request s = attempt.request;
    RequestClass requestClass = s.requestClass;
    if (work > 0 && s.workEstimate > 0) {
      requestClass.workBias.add(now, Math.min(2 * PACE_CAP, work / s.workEstimate), 1);
    }
    if (memory > 0 && s.memoryEstimate > 0) {
      requestClass.memoryBias.add(now, Math.min(2 * PACE_CAP, memory / s.memoryEstimate), 1);
    }
    requestClass.work.add(
        now,
        work > 0
            ? work
            : s.workEstimate > 0 ? work(now, s) : lag * requestClass.config.threadsPerRequest(),
        1);
    double nominal =
        work > 0 ? work / requestClass.config.threadsPerRequest() : attempt.nominalTime;
    double pace = lag / Math.max(1, nominal);
    requestClass.pace.add(now, Math.min(pace, 2 * PACE_CAP * requestClass.bestPaceOrDefault()), 1);
    if (requestClass.pace.weight(now) >= ENOUGH) {
      double mean = requestClass.pace.at(now);
      requestClass.bestPace =
          requestClass.bestPace == 0 ? mean : Math.min(requestClass.bestPace, mean);
    }
    double timesBest = Math.min(PACE_CAP, pace / requestClass.bestPaceOrDefault());
    attempt.engine.pace.add(now, timesBest, 1);
    lately.add(now, timesBest, 1);
    adjustBound(now, attempt.engine);
  }

  private void read(long now, Engine engine, double[] report) {
    if (report == null) {
      return;
    }
    engine.reportedAt = now;
    engine.reportedUtilization = 0;
    for (int i = 0; i < Math.min(report.length, reportFields.size()); i++) {
      switch (reportFields.get(i)) {
        case "busy_reqs" -> engine.reportedQueries = report[i];
        case "cpu_share", "x1" ->
            engine.reportedUtilization = Math.max(engine.reportedUtilization, report[i]);
        case "pending" ->
            engine.reportedUtilization =
                Math.max(engine.reportedUtilization, report[i] >= 1 ? 1 : 0);
        default -> {}
      }
    }
    if (engine.reportedUtilization >= BUSY) {
      press(now, engine);
    }
  }

  private boolean doubtful(long now, Engine engine) {
    double failed = engine.failures.at(now);
    return failed > DOUBT_LEAST && failed > DOUBT_RATIO * engine.successes.at(now);
  }

  private static double work(long now, Request s) {
    return s.workEstimate > 0
        ? s.workEstimate * s.requestClass.workBias.at(now)
        : s.requestClass.work.at(now);
  }

  /** Time that an attempt sent now is expected to take on an ordinary engine. */
  private long usual(long now, Request s) {
    double pace =
        Math.max(
            s.requestClass.pace.at(now),
            s.requestClass.bestPaceOrDefault() * Math.max(1, fleetPace));
    return (long) (work(now, s) / s.requestClass.config.threadsPerRequest() * pace);
  }

  private static long latencyObjective(long now, Request s) {
    RequestClassConfig terms = s.requestClass.config;
    return terms.latencyObjective()
        + (long) (terms.objectiveStretch() * work(now, s) / terms.threadsPerRequest());
  }

  private static long softEnd(long now, Request s) {
    return Math.min(s.clientDeadline, s.arrivedAt + latencyObjective(now, s));
  }

  /** The last moment at which a final answer is surely in time. */
  private long lastMoment(Request s) {
    return s.clientDeadline - 2 * tick;
  }

  /** From here on an answer pays nothing. */
  private long tooLateAt(long now, Request s) {
    return s.requestClass.config.latePriorityWeight() > 0
        ? lastMoment(s)
        : Math.min(lastMoment(s), (long) (s.arrivedAt + latencyObjective(now, s) * LATE_MARGIN));
  }
}
