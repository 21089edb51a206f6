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

/**
 * One gateway on the simulator's wire. Maps the ids of the wire to objects of its policy and back.
 */
final class Instance implements DispatchActions {
  private final ActionWriter actions;
  private final Map<String, Engine> engines = new HashMap<>();
  private final Map<String, Request> requests = new HashMap<>();
  private final Map<String, KeyedRequestQueue> keyQueues = new HashMap<>();
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
   * @param now the current time, in tenths of a millisecond
   * @param event the event
   * @param entries the entries of the endpoint list that the event refers to; empty if it refers to
   *     none
   * @return whether the event's name is known
   * @throws MalformedWireException if a required value is missing or has another type
   */
  boolean handle(long now, Message event, List<Row> entries) {
    switch (event.name()) {
      case SimulatorWire.ENDPOINTS_CHANGED -> endpointsChanged(now, event, entries);
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

  private void endpointsChanged(long now, Message event, List<Row> entries) {
    int mode = (int) event.number(SimulatorWire.EndpointsChanged.MODE, SimulatorWire.MODE_NAME);
    if (mode == SimulatorWire.EndpointsChanged.MODE_FAILED) {
      policy.onEndpointPollFailed(now);
      return;
    }
    List<EndpointUpdate> updates = new ArrayList<>(entries.size());
    for (Row entry : entries) {
      Engine engine = engines.computeIfAbsent(entry.engine(), Engine::new);
      updates.add(
          new EndpointUpdate(
              engine,
              entry.kind(),
              entry.zone(),
              entry.cell(),
              entry.weight(),
              entry.status(),
              entry.startedAt()));
    }
    boolean complete =
        mode == SimulatorWire.EndpointsChanged.MODE_CACHED
            || mode == SimulatorWire.EndpointsChanged.MODE_FULL;
    policy.onEndpointsChanged(now, complete, updates);
  }

  private void requestArrived(long now, Message event) {
    String id = requestId(event);
    String key = event.textOr(SimulatorWire.RequestArrived.KEY, null);
    KeyedRequestQueue queue =
        key == null ? null : keyQueues.computeIfAbsent(key, absent -> new KeyedRequestQueue());
    Request request =
        new Request(
            id,
            (int) event.number(SimulatorWire.RequestArrived.REQUEST_CLASS, "band"),
            (int) event.numberOr(SimulatorWire.RequestArrived.TABLE_GROUP, 0),
            event.flag(SimulatorWire.RequestArrived.REPEAT),
            now,
            Units.toTenths(event.number(SimulatorWire.RequestArrived.DEADLINE, "deadline_us")),
            event.decimalOr(SimulatorWire.RequestArrived.ESTIMATE, 0) / Units.toMicros(1),
            event.decimalOr(SimulatorWire.RequestArrived.MEMORY, 0),
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
      double level = event.decimalOr(SimulatorWire.Progress.LEVEL, 0);
      policy.onAttemptProgress(now, attempt, progress, level);
    }
  }

  private void attemptEnded(long now, Message event) {
    Attempt attempt = attempt(event, SimulatorWire.AttemptEnded.ATTEMPT);
    if (attempt == null || !attempt.isInFlight()) {
      return;
    }
    long packedUsage = event.numberOr(SimulatorWire.AttemptEnded.RESOURCE_USAGE, 0);
    policy.onAttemptEnded(
        now,
        attempt,
        outcome(event.text(SimulatorWire.AttemptEnded.OUTCOME, "how")),
        Units.toTenths(event.numberOr(SimulatorWire.AttemptEnded.DURATION, 0)),
        event.flag(SimulatorWire.AttemptEnded.ANSWERED),
        Units.unpackWork(packedUsage),
        Units.unpackMemory(packedUsage),
        event.report(SimulatorWire.AttemptEnded.LOAD_REPORT));
    removeIfOver(attempt.request);
  }

  private static AttemptOutcome outcome(String outcomeName) {
    return switch (outcomeName) {
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
      removeIfOver(request);
    }
  }

  private static String requestId(Message event) {
    return event.text(SimulatorWire.REQUEST_ID, SimulatorWire.REQUEST_ID_NAME);
  }

  /**
   * Returns the attempt that an event refers to, or null if it is unknown.
   *
   * @param event the event
   * @param index the index of the attempt's number in the event
   * @throws MalformedWireException if the event has no request id or no attempt number
   */
  private Attempt attempt(Message event, int index) {
    Request request = requests.get(requestId(event));
    long number = event.number(index, SimulatorWire.ATTEMPT_NAME);
    return request == null || number < 0 || number >= request.attempts.size()
        ? null
        : request.attempts.get((int) number);
  }

  private void removeIfOver(Request request) {
    if (request.isOver()) {
      requests.remove(id(request));
    }
  }

  // ---- actions ----

  private static String id(Request request) {
    return (String) request.tag;
  }

  @Override
  public void updatePriorityAndGrant(Request request, int priority, long grant) {
    actions.updatePriorityAndGrant(id(request), priority, grant);
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
    removeIfOver(request);
  }

  @Override
  public void failRequest(Request request) {
    actions.failRequest(id(request));
    removeIfOver(request);
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

  /** Reports an internal error of this gateway. */
  void panic(String cause) {
    actions.panic(cause);
  }
}
