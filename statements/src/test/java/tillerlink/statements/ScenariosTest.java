package tillerlink.statements;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import org.junit.jupiter.api.Test;
import tillerlink.messages.statements.Change;
import tillerlink.simulation.Fault;
import tillerlink.statements.catalog.Outcome;

/** Tests of difficult cases of prepared statements, each compared with a stored timeline. */
class ScenariosTest {
  private final ClusterFixture cluster = new ClusterFixture(3, 3, 2);
  private final Timeline timeline = new Timeline(cluster);
  private final List<Outcome> outcomes = new ArrayList<>();
  private final List<String> lastState = new ArrayList<>();

  private void startAndPrepare() {
    cluster.startAll();
    assertTrue(cluster.playUntil(10 * ClusterFixture.SECOND, cluster::hasLeader));
    timeline.add(cluster.leader() + " leads");
    prepare("g1", "top", "select 1 from orders_17.orders", 17);
    assertTrue(cluster.playUntil(5 * ClusterFixture.SECOND, () -> canRun("g1") && canRun("g2")));
    timeline.add("g1 and g2 run top: " + cluster.runState("g1", "top"));
    load("g1");
    load("g2");
  }

  private boolean canRun(String at) {
    return cluster.canRun(at, "top");
  }

  private void load(String at) {
    cluster.run(at, "top");
    cluster.fleet.at(cluster.fleet.now() + 10 * ClusterFixture.MS, () -> load(at));
  }

  private void prepare(String at, String name, String text, int... groups) {
    timeline.add(at + " is asked to prepare " + name);
    cluster.prepare(at, Fixtures.definition(name, text, groups), outcome -> onOutcome(at, outcome));
  }

  private void announce(String at, String description, Change change) {
    timeline.add(at + " is asked to announce: " + description);
    cluster.announce(at, change, outcome -> onOutcome(at, outcome));
  }

  private void onOutcome(String at, Outcome outcome) {
    outcomes.add(outcome);
    timeline.add(
        at
            + " is told: "
            + outcome.verdict()
            + " "
            + (outcome.id() > 0 ? outcome.id() : outcome.message()));
  }

  /** Plays for the duration, and adds each change of the observable state to the timeline. */
  private void watch(long duration, int... groups) {
    long end = cluster.fleet.now() + duration;
    while (cluster.fleet.now() < end) {
      List<String> state = new ArrayList<>();
      for (String name : cluster.gatewayNames) {
        if (cluster.isUp(name) && !cluster.isPaused(name)) {
          for (int group : groups) {
            state.add(
                name
                    + " has group "
                    + group
                    + " at version "
                    + cluster.statements(name).catalog().version(group));
          }
          if (name.startsWith("g")) {
            state.add(name + " on top: " + cluster.runState(name, "top"));
          }
        }
      }
      state.add("leader: " + cluster.leader());
      state.stream().filter(line -> !lastState.contains(line)).forEach(timeline::add);
      lastState.clear();
      lastState.addAll(state);
      cluster.fleet.playFor(5 * ClusterFixture.MS);
    }
  }

  private void assertConverged(String name) throws IOException {
    assertTrue(
        cluster.playUntil(30 * ClusterFixture.SECOND, cluster::hasConverged),
        () -> cluster.gatewayNames.stream().map(cluster::describe).toList().toString());
    timeline.add(
        "all agree; "
            + (cluster.audit.violations().isEmpty() ? "no run under an old schema" : "violations"));
    timeline.assertMatchesStored(name);
  }

  private void isolate(String name) {
    timeline.add(name + " is cut off");
    cluster.gatewayNames.stream()
        .filter(other -> !other.equals(name))
        .forEach(other -> cluster.fleet.between(name, other, Fault.CUT));
  }

  private void heal() {
    timeline.add("the links are back");
    cluster.fleet.heal();
  }

  @Test
  void changeTakesEffectInAHealthyCluster() throws IOException {
    startAndPrepare();
    announce("g1", "17:orders.city is called town", Fixtures.renamed(17, "town"));
    watch(ClusterFixture.SECOND, 17);
    assertConverged("calm");
  }

  @Test
  void changeTakesEffectWhileAGatewayIsPartitioned() throws IOException {
    startAndPrepare();
    isolate("g2");
    announce("g1", "a change that leaves top untouched", Fixtures.untouched(17));
    watch(3 * ClusterFixture.SECOND, 17);
    heal();
    watch(ClusterFixture.SECOND, 17);
    assertConverged("cut-off");
  }

  @Test
  void gatewayPausedDuringAChangeRunsNoStatementUnderTheOldSchema() throws IOException {
    startAndPrepare();
    timeline.add("g2 is stopped");
    cluster.pause("g2");
    announce("g1", "a change that removes what top uses", Fixtures.removed(17));
    watch(3 * ClusterFixture.SECOND, 17);
    timeline.add("g2 goes on");
    cluster.resume("g2");
    watch(ClusterFixture.SECOND, 17);
    assertConverged("paused");
  }

  @Test
  void gatewayRestartedDuringAChangeCatchesUp() throws IOException {
    startAndPrepare();
    announce("g1", "a change that leaves top untouched", Fixtures.untouched(17));
    timeline.add("g2 is killed and starts again");
    cluster.kill("g2");
    cluster.start("g2");
    watch(3 * ClusterFixture.SECOND, 17);
    assertConverged("restarted");
  }

  @Test
  void changesCompleteWhenTheLeaderIsKilledAtAnyStep() throws IOException {
    startAndPrepare();
    for (int step = 0; step < 5; step++) {
      announce("g1", "change number " + (step + 1), Fixtures.untouched(17));
      long version = cluster.statements("g1").catalog().version(17);
      int killedAfter = step;
      cluster.playUntil(
          ClusterFixture.SECOND,
          () ->
              switch (killedAfter) {
                case 0 -> true;
                case 1 ->
                    cluster.voters.stream()
                        .anyMatch(
                            voter ->
                                cluster.isUp(voter)
                                    && !cluster.statements(voter).catalog().waiting().isEmpty());
                case 2 -> !cluster.statements("g1").catalog().waiting().isEmpty();
                case 3 ->
                    cluster.voters.stream()
                        .anyMatch(
                            voter -> cluster.statements(voter).catalog().version(17) > version);
                default -> cluster.statements("g1").catalog().version(17) > version;
              });
      String leader = cluster.leader();
      timeline.add(leader + " is killed, step " + step);
      cluster.kill(leader);
      watch(4 * ClusterFixture.SECOND, 17);
      timeline.add(leader + " starts again");
      cluster.start(leader);
      assertTrue(
          cluster.playUntil(10 * ClusterFixture.SECOND, () -> cluster.isOperational(leader)));
    }
    assertConverged("leader-dies");
  }

  @Test
  void overlappingChangesTakeEffectInOrderAndOneIsWithdrawn() throws IOException {
    startAndPrepare();
    isolate("g2");
    announce("g1", "a change of 17 and 18", Fixtures.untouched(17, 18));
    announce("v1", "a change of 18 and 19", Fixtures.untouched(18, 19));
    announce("v2", "another of 17", Fixtures.untouched(17));
    cluster.playUntil(ClusterFixture.SECOND, () -> outcomes.size() == 4);
    timeline.add("the last is taken back");
    cluster.withdraw("g1", outcomes.get(3).id(), outcome -> onOutcome("g1", outcome));
    watch(3 * ClusterFixture.SECOND, 17, 18, 19);
    timeline.add("the first is taken back, too late");
    cluster.withdraw("g1", outcomes.get(1).id(), outcome -> onOutcome("g1", outcome));
    watch(ClusterFixture.SECOND, 17, 18, 19);
    heal();
    watch(ClusterFixture.SECOND, 17, 18, 19);
    assertConverged("overlap");
  }

  @Test
  void changesTakeEffectFasterThanASlowGatewayFollows() throws IOException {
    startAndPrepare();
    timeline.add("all links to and from g2 take half a second to a second");
    cluster.gatewayNames.forEach(
        other -> cluster.fleet.between("g2", other, Fault.slow(5000, 10_000)));
    for (int i = 0; i < 5; i++) {
      announce("g1", "change number " + (i + 1), Fixtures.untouched(17));
      watch(600 * ClusterFixture.MS, 17);
    }
    heal();
    watch(2 * ClusterFixture.SECOND, 17);
    assertConverged("slow");
  }

  @Test
  void votersRejoinFromAnEmptyDiskAndFromAnOldCopy() throws IOException {
    startAndPrepare();
    NavigableMap<String, byte[]> copy = cluster.copyDisk("v2");
    announce("g1", "change number 1", Fixtures.untouched(17));
    watch(ClusterFixture.SECOND, 17);
    timeline.add("v2 starts from the disk as it was before that change");
    cluster.startFromCopy("v2", copy);
    assertTrue(cluster.playUntil(20 * ClusterFixture.SECOND, () -> cluster.isOperational("v2")));
    timeline.add("v2 takes part again");
    watch(ClusterFixture.SECOND, 17);
    timeline.add("v3 starts from an empty disk");
    cluster.startFromEmptyDisk("v3");
    announce("g1", "change number 2", Fixtures.untouched(17));
    assertTrue(cluster.playUntil(20 * ClusterFixture.SECOND, () -> cluster.isOperational("v3")));
    timeline.add("v3 takes part again");
    watch(2 * ClusterFixture.SECOND, 17);
    cluster.warnings.forEach(warning -> timeline.add("told: " + warning));
    assertConverged("disks");
  }

  @Test
  void namePreparedAtTwoGatewaysConcurrentlyHasOneText() throws IOException {
    startAndPrepare();
    prepare("g1", "both", "select 1 from orders_17.orders", 17);
    prepare("g2", "both", "select 2 from orders_17.orders", 17);
    watch(ClusterFixture.SECOND, 17);
    cluster.gatewayNames.forEach(
        name ->
            timeline.add(
                name
                    + " has both in generation "
                    + cluster.statements(name).lookUp("both").orElseThrow().generation()));
    cluster.drop("v1", "both", outcome -> onOutcome("v1", outcome));
    cluster.fleet.playFor(ClusterFixture.SECOND);
    timeline.add("g1 on both: " + cluster.runState("g1", "both"));
    prepare("g2", "both", "select 2 from orders_17.orders", 17);
    watch(ClusterFixture.SECOND, 17);
    timeline.add("g1 on both: " + cluster.runState("g1", "both"));
    assertConverged("one-name");
  }
}
