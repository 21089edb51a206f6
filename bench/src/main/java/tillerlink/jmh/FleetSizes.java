package tillerlink.jmh;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import tillerlink.fleet.EngineSpec;
import tillerlink.fleet.Fleet;
import tillerlink.model.Attempt;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.EndpointUpdate;
import tillerlink.model.Engine;
import tillerlink.model.Engine.Status;
import tillerlink.model.Request;
import tillerlink.plain.FlattenedConfig;
import tillerlink.policy.DefaultDispatchPolicy;
import tillerlink.port.DispatchActions;
import tillerlink.trace.Layout;
import tillerlink.workload.BuiltInRequestClasses;

/**
 * Measures the cost of an endpoint list and of a decision for the policy in fleets of 36, 300 and
 * 1,024 engines, with a tenth of the engines in use.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 4, time = 1)
@Fork(1)
public class FleetSizes {
  /** The duration of each attempt, in tenths of a millisecond. */
  private static final long ATTEMPT_DURATION = 3000;

  /** The number of engines in the fleet. */
  @Param({"36", "300", "1024"})
  public int engines;

  private final List<EndpointUpdate> list = new ArrayList<>();
  private final List<Request> inFlight = new ArrayList<>();
  private DefaultDispatchPolicy policy;
  private long now = 17_000_000_000_000L;
  private int nextId;

  /** Starts the policy with the fleet and submits a request for every ten engines. */
  @Setup
  public void setUp() {
    Fleet fleet = Fleet.of(100, engines);
    Map<String, Object> settings =
        FlattenedConfig.of(
            fleet.settings(BuiltInRequestClasses.requestClasses(Layout.ALIBABA_2018), 0));
    policy = new DefaultDispatchPolicy(now, 7, settings, new NoOpActions());
    for (EngineSpec spec : fleet.engines()) {
      list.add(
          new EndpointUpdate(
              new Engine(spec.name()), spec.kind(), spec.zone(), 0, 1, Status.READY, 0));
    }
    policy.onEndpointsChanged(now, true, list);
    for (int i = 0; i < engines / 10; i++) {
      submit();
    }
  }

  private void submit() {
    Request request =
        new Request(nextId, 0, nextId++ % 16, false, now, now + 100_000, 2000, 0, null);
    policy.onRequestArrived(now, request);
    policy.applyDecisions(now);
    inFlight.add(request);
  }

  /** Processes a complete endpoint list that changes nothing, and the decisions that follow it. */
  @Benchmark
  public void list() {
    now += 10;
    policy.onEndpointsChanged(now, true, list);
    policy.applyDecisions(now);
  }

  /** Processes a new request and places it, and ends the oldest request in flight. */
  @Benchmark
  public void decision() {
    now += 10;
    Request oldest = inFlight.remove(0);
    if (!oldest.attempts.isEmpty()) {
      Attempt attempt = oldest.attempts.get(oldest.attempts.size() - 1);
      policy.onAttemptEnded(
          now, attempt, AttemptOutcome.SUCCEEDED, ATTEMPT_DURATION, true, 0, 0, null);
    }
    submit();
  }

  /** Ignores all actions of the policy. */
  private static final class NoOpActions implements DispatchActions {
    @Override
    public void updatePriorityAndGrant(Request request, int rank, long grant) {
      // No engine is informed.
    }

    @Override
    public void sendAttempt(Attempt attempt) {
      // The benchmark ends attempts itself.
    }

    @Override
    public void cancelAttempt(Attempt attempt) {
      // There is no engine.
    }

    @Override
    public void rejectRequest(Request request, long retryAfter) {
      // There is no client.
    }

    @Override
    public void failRequest(Request request) {
      // There is no client.
    }

    @Override
    public void scheduleWakeup(long at) {
      // The benchmark calls applyDecisions itself.
    }

    @Override
    public void watchEndpoints() {
      // The benchmark supplies the lists.
    }

    @Override
    public void log(String line) {
      // The log is not part of the measurement.
    }
  }
}
