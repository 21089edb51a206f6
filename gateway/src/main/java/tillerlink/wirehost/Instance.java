package tillerlink.wirehost;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tillerlink.model.Attempt;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.AttemptProgress;
import tillerlink.model.EndpointUpdate;
import tillerlink.model.Engine;
import tillerlink.model.KeyedRequestQueue;
import tillerlink.model.Request;
import tillerlink.plain.FlattenedConfig;
import tillerlink.plain.Units;
import tillerlink.port.DispatchActions;
import tillerlink.port.DispatchPolicy;
import tillerlink.port.DispatchPolicyFactory;

/** One gateway on the simulator's wire: maps ids of the wire to objects of its policy and back. */
final class Instance implements DispatchActions {
  private final ActionWriter actions;
  private final Map<String, Engine> engines = new HashMap<>();
  private final Map<String, Request> requests = new HashMap<>();
  private final Map<String, KeyedRequestQueue> queues = new HashMap<>();
  private final DispatchPolicy policy;

  Instance(
      long now,
      long seed,
      Map<String, Object> settings,
      DispatchPolicyFactory factory,
      ActionWriter actions) {
    this.actions = actions;
    policy = factory.create(now, seed, FlattenedConfig.of(settings), this);
  }

  DispatchPolicy policy() {
    return policy;
  }

  // ---- events ----

  /**
   * Passes an event to the policy.
   *
   * @param rows the entries of the list that the event names; empty if it names none
   * @return whether the event is known
   * @throws MalformedWireException if it lacks a value, or one has another type
   */
  boolean handle(long now, Message event, List<Row> rows) {
    switch (event.name()) {
      case SimulatorWire.ENDPOINTS_CHANGED -> endpointsChanged(now, event, rows);
      case SimulatorWire.REQUEST_ARRIVED -> requestArrived(now, event);
      case SimulatorWire.RESPONSE_STARTED -> responseStarted(now, event);
      case SimulatorWire.ATTEMPT_PROGRESS -> attemptProgress(now, event);
      case SimulatorWire.ATTEMPT_ENDED -> attemptEnded(now, event);
      case SimulatorWire.CLIENT_DISCONNECTED -> clientDisconnected(now, requestId(event));
      case SimulatorWire.WAKEUP -> policy.onWakeup(now);
      case SimulatorWire.MEMO, SimulatorWire.PONG -> {}
      default -> {
        return false;
      }
    }
    return true;
  }

  private void endpointsChanged(long now, Message event, List<Row> rows) {
    int mode = (int) event.number(SimulatorWire.EndpointsChanged.MODE, SimulatorWire.MODE_NAME);
    if (mode == SimulatorWire.EndpointsChanged.MODE_FAILED) {
      policy.onEndpointPollFailed(now);
      return;
    }
    List<EndpointUpdate> updates = new ArrayList<>(rows.size());
    for (Row row : rows) {
      Engine engine = engines.computeIfAbsent(row.engine(), Engine::new);
      updates.add(
          new EndpointUpdate(
              engine,
              row.kind(),
              row.zone(),
              row.cell(),
              row.weight(),
              row.status(),
              row.startedAt()));
    }
    boolean whole =
        mode == SimulatorWire.EndpointsChanged.MODE_CACHED
            || mode == SimulatorWire.EndpointsChanged.MODE_FULL;
    policy.onEndpointsChanged(now, whole, updates);
  }

  private void requestArrived(long now, Message event) {
    String id = requestId(event);
    String key = event.textOr(SimulatorWire.RequestArrived.KEY, null);
    KeyedRequestQueue queue =
        key == null ? null : queues.computeIfAbsent(key, absent -> new KeyedRequestQueue());
    Request request =
        new Request(
            id,
            (int) event.number(SimulatorWire.RequestArrived.REQUEST_CLASS, "band"),
            (int) event.numberOr(SimulatorWire.RequestArrived.TABLE_GROUP, 0),
            event.flag(SimulatorWire.RequestArrived.REPEAT),
            now,
            Units.toTenths(event.number(SimulatorWire.RequestArrived.DEADLINE, "deadline_us")),
            event.amountOr(SimulatorWire.RequestArrived.ESTIMATE, 0) / Units.toMicros(1),
            event.amountOr(SimulatorWire.RequestArrived.MEMORY, 0),
            queue);
    requests.put(id, request);
    policy.onRequestArrived(now, request);
  }

  private void responseStarted(long now, Message event) {
    Attempt attempt = attempt(event, SimulatorWire.ResponseStarted.ATTEMPT);
    if (attempt != null) {
      policy.onResponseStarted(now, attempt);
    }
  }

  private void attemptProgress(long now, Message event) {
    Attempt attempt = attempt(event, SimulatorWire.Progress.ATTEMPT);
    AttemptProgress progress =
        switch ((int) event.numberOr(SimulatorWire.Progress.KIND, 0)) {
          case SimulatorWire.Progress.KIND_PROGRESS -> AttemptProgress.PROGRESS;
          case SimulatorWire.Progress.KIND_SPILLS -> AttemptProgress.SPILLS;
          case SimulatorWire.Progress.KIND_WAITS -> AttemptProgress.WAITS;
          default -> null;
        };
    if (attempt != null && progress != null) {
      double level = event.amountOr(SimulatorWire.Progress.LEVEL, 0);
      policy.onAttemptProgress(now, attempt, progress, level);
    }
  }

  private void attemptEnded(long now, Message event) {
    Attempt attempt = attempt(event, SimulatorWire.AttemptEnded.ATTEMPT);
    if (attempt == null || !attempt.isInFlight()) {
      return;
    }
    long bill = event.numberOr(SimulatorWire.AttemptEnded.BILL, 0);
    policy.onAttemptEnded(
        now,
        attempt,
        outcome(event.text(SimulatorWire.AttemptEnded.OUTCOME, "how")),
        Units.toTenths(event.numberOr(SimulatorWire.AttemptEnded.LAG, 0)),
        event.flag(SimulatorWire.AttemptEnded.ANSWERED),
        Units.billedWork(bill),
        Units.billedMemory(bill),
        event.report(SimulatorWire.AttemptEnded.LOAD_REPORT));
    forgetIfOver(attempt.request);
  }

  private static AttemptOutcome outcome(String word) {
    return switch (word) {
      case SimulatorWire.AttemptEnded.COMPLETED -> AttemptOutcome.SUCCEEDED;
      case SimulatorWire.AttemptEnded.SATURATED -> AttemptOutcome.REJECTED;
      case SimulatorWire.AttemptEnded.OVERDUE -> AttemptOutcome.TIMED_OUT;
      case SimulatorWire.AttemptEnded.REFUSED_CONNECTION -> AttemptOutcome.CONNECT_FAILED;
      case SimulatorWire.AttemptEnded.SEVERED -> AttemptOutcome.CONNECTION_LOST;
      case SimulatorWire.AttemptEnded.RECALLED -> AttemptOutcome.CANCELLED;
      case SimulatorWire.AttemptEnded.SUPERSEDED -> AttemptOutcome.NOT_SENT;
      default -> AttemptOutcome.FAILED;
    };
  }

  private void clientDisconnected(long now, String id) {
    Request request = requests.get(id);
    if (request != null) {
      policy.onClientDisconnected(now, request);
      forgetIfOver(request);
    }
  }

  private static String requestId(Message event) {
    return event.text(SimulatorWire.REQUEST_ID, SimulatorWire.REQUEST_ID_NAME);
  }

  /** The attempt that an event names, or null if it is not known. */
  private Attempt attempt(Message event, int place) {
    Request request = requests.get(requestId(event));
    long number = event.number(place, SimulatorWire.ATTEMPT_NAME);
    return request == null || number < 0 || number >= request.attempts.size()
        ? null
        : request.attempts.get((int) number);
  }

  private void forgetIfOver(Request request) {
    if (request.isOver()) {
      requests.remove(id(request));
    }
  }

  // ---- actions ----

  private static String id(Request request) {
    return (String) request.tag;
  }

  @Override
  public void updatePriorityAndGrant(Request request, int rank, long grant) {
    actions.updatePriorityAndGrant(id(request), rank, grant);
  }

  @Override
  public void sendAttempt(Attempt attempt) {
    actions.sendAttempt(id(attempt.request), (String) attempt.engine.tag);
  }

  @Override
  public void cancelAttempt(Attempt attempt) {
    actions.cancelAttempt(id(attempt.request), attempt.number);
  }

  @Override
  public void rejectRequest(Request request, long retryAfter) {
    actions.rejectRequest(id(request), Units.toMicros(retryAfter));
    forgetIfOver(request);
  }

  @Override
  public void failRequest(Request request) {
    actions.failRequest(id(request));
    forgetIfOver(request);
  }

  @Override
  public void scheduleWakeup(long at) {
    actions.scheduleWakeup(Units.toMicros(at));
  }

  @Override
  public void watchEndpoints() {
    actions.watchEndpoints();
  }

  @Override
  public void log(String line) {
    actions.log(line);
  }

  /** Reports an internal error. */
  void panic(String cause) {
    actions.panic(cause);
  }
}
