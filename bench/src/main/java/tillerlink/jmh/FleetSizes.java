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
 * What a list and a decision cost the module in fleets of 36, 300 and 1,024 engines, with a tenth
 * of them in use.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 4, time = 1)
@Fork(1)
public class FleetSizes {
  private static final long LAG = 3000;

  /** How many engines the fleet has. */
  @Param({"36", "300", "1024"})
  public int engines;

  private final List<EndpointUpdate> list = new ArrayList<>();
  private final List<Request> out = new ArrayList<>();
  private DefaultDispatchPolicy policy;
  private long now = 17_000_000_000_000L;
  private int next;

  /** Starts the module with the fleet and submits a request for every ten engines. */
  @Setup
  public void start() {
    Fleet fleet = Fleet.of(100, engines);
    Map<String, Object> settings =
        FlattenedConfig.of(
            fleet.settings(BuiltInRequestClasses.requestClasses(Layout.ALIBABA_2018), 0));
    policy = new DefaultDispatchPolicy(now, 7, settings, new Nobody());
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
    Request request = new Request(next, 0, next++ % 16, false, now, now + 100_000, 2000, 0, null);
    policy.onRequestArrived(now, request);
    policy.applyDecisions(now);
    out.add(request);
  }

  /** A whole list that changes nothing, and the turn that settles it. */
  @Benchmark
  public void list() {
    now += 10;
    policy.onEndpointsChanged(now, true, list);
    policy.applyDecisions(now);
  }

  /** One request comes and is placed, the oldest one out ends. */
  @Benchmark
  public void decision() {
    now += 10;
    Request oldest = out.remove(0);
    if (!oldest.attempts.isEmpty()) {
      Attempt attempt = oldest.attempts.get(oldest.attempts.size() - 1);
      policy.onAttemptEnded(now, attempt, AttemptOutcome.SUCCEEDED, LAG, true, 0, 0, null);
    }
    submit();
  }

  /** Takes orders and does nothing. */
  private static final class Nobody implements DispatchActions {
    @Override
    public void updatePriorityAndGrant(Request request, int rank, long grant) {
      // Nothing is told on.
    }

    @Override
    public void sendAttempt(Attempt attempt) {
      // It is out from here on.
    }

    @Override
    public void cancelAttempt(Attempt attempt) {
      // Nothing runs.
    }

    @Override
    public void rejectRequest(Request request, long retryAfter) {
      // Nobody waits.
    }

    @Override
    public void failRequest(Request request) {
      // Nobody waits.
    }

    @Override
    public void scheduleWakeup(long at) {
      // The next round comes by itself.
    }

    @Override
    public void watchEndpoints() {
      // Lists come by themselves.
    }

    @Override
    public void log(String line) {
      // Nobody reads.
    }
  }
}
