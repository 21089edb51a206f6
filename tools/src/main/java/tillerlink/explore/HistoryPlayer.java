package tillerlink.explore;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import tillerlink.audit.Auditor;
import tillerlink.audit.Violation;
import tillerlink.emulator.EmulatedCluster;
import tillerlink.emulator.FaultChooser;
import tillerlink.fleet.Fleet;
import tillerlink.fleet.ScheduledFault;
import tillerlink.model.Effect;
import tillerlink.port.DispatchPolicyFactory;
import tillerlink.replay.GatewayConnections;
import tillerlink.replay.ReplayClients;
import tillerlink.replay.ReplayMetrics;
import tillerlink.replay.RequestEncoder;
import tillerlink.workload.Arrival;
import tillerlink.workload.RequestClassSpec;

/** Plays histories of the real gateway and policy. A history depends on its deviations alone. */
public final class HistoryPlayer {
  private static final long START = 17_000_000_000_000L;
  private static final long SECOND = 10_000;
  private static final List<RequestClassSpec> REQUEST_CLASSES =
      List.of(
          new RequestClassSpec(
              "book", Effect.EFFECTFUL, 1, SECOND / 2, SECOND, 1, 0.5, List.of(), 0, 1, List.of()),
          new RequestClassSpec(
              "intake",
              Effect.RECEIPTED,
              1,
              SECOND / 2,
              SECOND,
              1,
              0.5,
              List.of(),
              2 * SECOND,
              1,
              List.of()),
          new RequestClassSpec(
              "sheet",
              Effect.PURE,
              1,
              SECOND / 2,
              SECOND,
              1,
              0.5,
              List.of("small-8"),
              0,
              1,
              List.of()));

  private final Fleet fleet;
  private final int requests;
  private final DispatchPolicyFactory policies;

  /**
   * Creates a player of histories with one gateway.
   *
   * @param engines the number of engines
   * @param requests the number of requests
   * @param http2 true if engines speak HTTP/2, false for engine lines
   * @param policies creates the policy of the gateway
   */
  public HistoryPlayer(int engines, int requests, boolean http2, DispatchPolicyFactory policies) {
    Fleet defaultFleet = Fleet.of(1, engines);
    fleet = defaultFleet.overHttp2(kind -> http2);
    this.requests = requests;
    this.policies = policies;
  }

  /**
   * Records the number of choices at each point, and returns the choices that the deviations
   * define.
   */
  private static final class RecordingChooser implements FaultChooser {
    private final List<int[]> deviations;
    private final List<String> events;
    private int[] options = new int[256];
    private int points;
    private EmulatedCluster cluster;

    RecordingChooser(List<int[]> deviations, List<String> events) {
      this.deviations = deviations;
      this.events = events;
    }

    @Override
    public int choose(String point, int choices) {
      int index = points++;
      if (index >= options.length) {
        options = Arrays.copyOf(options, 2 * index);
      }
      options[index] = choices;
      for (int[] deviation : deviations) {
        if (deviation[0] == index) {
          events.add(
              String.format(
                  Locale.ROOT,
                  "%7.1f ms  %s deviates, choice %d",
                  (cluster.now() - START) / 10.0,
                  point,
                  deviation[1]));
          return deviation[1];
        }
      }
      return 0;
    }
  }

  /** Records the events that the auditor receives. */
  private static final class RecordingAuditor extends Auditor {
    private final List<String> events;
    private final Set<String> executed = new HashSet<>();

    RecordingAuditor(Fleet fleet, List<String> events) {
      super(fleet, REQUEST_CLASSES);
      this.events = events;
    }

    private void record(long now, String event) {
      events.add(String.format(Locale.ROOT, "%7.1f ms  %s", (now - START) / 10.0, event));
    }

    @Override
    public void onRequestAccepted(
        long now, int gateway, String id, int requestClass, String key, long clientDeadline) {
      record(now, "a " + REQUEST_CLASSES.get(requestClass).name() + " arrives: " + id);
      super.onRequestAccepted(now, gateway, id, requestClass, key, clientDeadline);
    }

    @Override
    public void onAttemptSent(long now, int gateway, String engine, String id) {
      record(now, id + " is sent to " + engine);
      super.onAttemptSent(now, gateway, engine, id);
    }

    @Override
    public void onAttemptExecuted(long now, String engine, String id, double work) {
      record(now, id + " runs at " + engine + (executed.add(id) ? "" : " again"));
      super.onAttemptExecuted(now, engine, id, work);
    }

    @Override
    public void onAnswer(long now, String id, Answer answer) {
      record(now, id + " is answered: " + answer.name().toLowerCase(Locale.ROOT).replace('_', ' '));
      super.onAnswer(now, id, answer);
    }
  }

  /**
   * Plays the history with these deviations.
   *
   * @param deviations each the index of a point and the choice there, in the order of the points
   */
  public History play(List<int[]> deviations) {
    List<String> events = new ArrayList<>();
    RecordingAuditor auditor = new RecordingAuditor(fleet, events);
    RecordingChooser chooser = new RecordingChooser(deviations, events);
    EmulatedCluster cluster = new EmulatedCluster(fleet, REQUEST_CLASSES, auditor, START);
    chooser.cluster = cluster;
    cluster.faultChooser(chooser);
    cluster.startGateways(policies, 1);
    ReplayMetrics metrics = new ReplayMetrics(REQUEST_CLASSES);
    ReplayClients clients =
        new ReplayClients(
            cluster, new GatewayConnections(cluster), metrics, new RequestEncoder(1, 0));
    for (int i = 0; i < requests; i++) {
      Arrival arrival = new Arrival(i * 120L, i, i % REQUEST_CLASSES.size(), 400, 1, i, i);
      cluster.timeline.at(START + arrival.at(), () -> clients.arrive(arrival));
    }
    cluster.timeline.at(START + 150, () -> withdrawEngineIfChosen(cluster, chooser));
    while (metrics.arrived() < requests || clients.open() > 0) {
      cluster.timeline.step();
    }
    List<String> violations = new ArrayList<>();
    for (Violation violation : auditor.violations()) {
      violations.add(violation.rule() + ": " + violation.what());
    }
    if (!metrics.addsUp()) {
      violations.add("ANSWER: not every request ended exactly once");
    }
    return new History(
        deviations, events, violations, Arrays.copyOf(chooser.options, chooser.points));
  }

  /** Lets the chooser decide whether an engine stays, drains or disappears. */
  private static void withdrawEngineIfChosen(EmulatedCluster cluster, RecordingChooser chooser) {
    int choice = chooser.choose("the list", 3);
    if (choice > 0) {
      ScheduledFault.What fault =
          choice == 1 ? ScheduledFault.What.DRAINED : ScheduledFault.What.GONE;
      cluster.plan(new ScheduledFault(cluster.now() - START, fault, "e1", 2 * SECOND, 1));
    }
  }
}
