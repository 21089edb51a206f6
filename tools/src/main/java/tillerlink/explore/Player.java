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
import tillerlink.fleet.Trouble;
import tillerlink.model.Effect;
import tillerlink.port.DispatchPolicyFactory;
import tillerlink.replay.Figures;
import tillerlink.replay.Front;
import tillerlink.replay.GatewayConnections;
import tillerlink.replay.Wording;
import tillerlink.workload.Arrival;
import tillerlink.workload.RequestClassSpec;

/** Plays one history of the real gateway and module from its deviations, always the same way. */
public final class Player {
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
  private final DispatchPolicyFactory modules;

  /**
   * @param http2 whether engines speak HTTP/2, else engine lines
   */
  public Player(int engines, int requests, boolean http2, DispatchPolicyFactory modules) {
    Fleet plain = Fleet.of(1, engines);
    fleet = plain.overHttp2(kind -> http2);
    this.requests = requests;
    this.modules = modules;
  }

  /** Notes what is decided, and takes the way that was asked for. */
  private static final class Noting implements FaultChooser {
    private final List<int[]> deviations;
    private final List<String> told;
    private int[] options = new int[256];
    private int points;
    private EmulatedCluster cluster;

    Noting(List<int[]> deviations, List<String> told) {
      this.deviations = deviations;
      this.told = told;
    }

    @Override
    public int choose(String point, int ways) {
      int place = points++;
      if (place >= options.length) {
        options = Arrays.copyOf(options, 2 * place);
      }
      options[place] = ways;
      for (int[] deviation : deviations) {
        if (deviation[0] == place) {
          told.add(
              String.format(
                  Locale.ROOT,
                  "%7.1f ms  %s goes otherwise, way %d",
                  (cluster.now() - START) / 10.0,
                  point,
                  deviation[1]));
          return deviation[1];
        }
      }
      return 0;
    }
  }

  /** Tells what an auditor hears. */
  private static final class Telling extends Auditor {
    private final List<String> told;
    private final Set<String> ran = new HashSet<>();

    Telling(Fleet fleet, List<String> told) {
      super(fleet, REQUEST_CLASSES);
      this.told = told;
    }

    private void tell(long now, String what) {
      told.add(String.format(Locale.ROOT, "%7.1f ms  %s", (now - START) / 10.0, what));
    }

    @Override
    public void taken(
        long now, int gateway, String id, int requestClass, String key, long clientDeadline) {
      tell(now, "a " + REQUEST_CLASSES.get(requestClass).name() + " is handed in: " + id);
      super.taken(now, gateway, id, requestClass, key, clientDeadline);
    }

    @Override
    public void sent(long now, int gateway, String engine, String id) {
      tell(now, id + " goes out to " + engine);
      super.sent(now, gateway, engine, id);
    }

    @Override
    public void ran(long now, String engine, String id, double work) {
      tell(now, id + " runs at " + engine + (ran.add(id) ? "" : " again"));
      super.ran(now, engine, id, work);
    }

    @Override
    public void answered(long now, String id, Answer answer) {
      tell(now, id + " is answered: " + answer.name().toLowerCase(Locale.ROOT).replace('_', ' '));
      super.answered(now, id, answer);
    }
  }

  public Story play(List<int[]> deviations) {
    List<String> told = new ArrayList<>();
    Telling auditor = new Telling(fleet, told);
    Noting noting = new Noting(deviations, told);
    EmulatedCluster cluster = new EmulatedCluster(fleet, REQUEST_CLASSES, auditor, START);
    noting.cluster = cluster;
    cluster.faultChooser(noting);
    cluster.startGateways(modules, 1);
    Figures figures = new Figures(REQUEST_CLASSES);
    Front front = new Front(cluster, new GatewayConnections(cluster), figures, new Wording(1, 0));
    for (int i = 0; i < requests; i++) {
      Arrival arrival = new Arrival(i * 120L, i, i % REQUEST_CLASSES.size(), 400, 1, i, i);
      cluster.timeline.at(START + arrival.at(), () -> front.arrive(arrival));
    }
    cluster.timeline.at(
        START + 150,
        () -> {
          int way = noting.choose("the list", 3);
          if (way > 0) {
            cluster.plan(
                new Trouble(
                    cluster.now() - START,
                    way == 1 ? Trouble.What.DRAINED : Trouble.What.GONE,
                    "e1",
                    2 * SECOND,
                    1));
          }
        });
    while (figures.arrived() < requests || front.open() > 0) {
      cluster.timeline.step();
    }
    List<String> wrong = new ArrayList<>();
    for (Violation violation : auditor.violations()) {
      wrong.add(violation.rule() + ": " + violation.what());
    }
    if (!figures.addsUp()) {
      wrong.add("ANSWER: submissions and endings do not add up");
    }
    return new Story(deviations, told, wrong, Arrays.copyOf(noting.options, noting.points));
  }
}
