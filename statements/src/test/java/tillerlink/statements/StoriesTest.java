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

/** The hard cases of prepared statements, each as a timeline that people can read. */
class StoriesTest {
  private final TestCluster cluster = new TestCluster(3, 3, 2);
  private final Timeline line = new Timeline(cluster);
  private final List<Outcome> outcomes = new ArrayList<>();
  private final List<String> told = new ArrayList<>();

  private void settled() {
    cluster.startAll();
    assertTrue(cluster.until(10 * TestCluster.SECOND, () -> !cluster.leader().equals("none")));
    line.say(cluster.leader() + " leads");
    prepare("g1", "top", "select 1 from orders_17.orders", 17);
    assertTrue(cluster.until(5 * TestCluster.SECOND, () -> runs("g1") && runs("g2")));
    line.say("g1 and g2 run top: " + cluster.mayRun("g1", "top"));
    load("g1");
    load("g2");
  }

  private boolean runs(String at) {
    return cluster.mayRun(at, "top").startsWith("yes");
  }

  private void load(String at) {
    cluster.run(at, "top");
    cluster.fleet.at(cluster.fleet.now() + 10 * TestCluster.MS, () -> load(at));
  }

  private void prepare(String at, String name, String text, int... groups) {
    line.say(at + " is asked to prepare " + name);
    cluster.prepare(at, TestCluster.definition(name, text, groups), outcome -> tell(at, outcome));
  }

  private void announce(String at, String words, Change change) {
    line.say(at + " is asked to announce: " + words);
    cluster.announce(at, change, outcome -> tell(at, outcome));
  }

  private void tell(String at, Outcome outcome) {
    outcomes.add(outcome);
    line.say(
        at
            + " is told: "
            + outcome.verdict()
            + " "
            + (outcome.id() > 0 ? outcome.id() : outcome.message()));
  }

  /** Says whenever something that people would see is another than before. */
  private void watch(long lasts, int... groups) {
    long end = cluster.fleet.now() + lasts;
    while (cluster.fleet.now() < end) {
      List<String> now = new ArrayList<>();
      for (String name : cluster.all) {
        if (cluster.isUp(name) && !cluster.isPaused(name)) {
          for (int group : groups) {
            now.add(
                name
                    + " has group "
                    + group
                    + " at version "
                    + cluster.part(name).catalog().version(group));
          }
          if (name.startsWith("g")) {
            now.add(name + " on top: " + cluster.mayRun(name, "top"));
          }
        }
      }
      now.add("leader: " + cluster.leader());
      now.stream().filter(words -> !told.contains(words)).forEach(line::say);
      told.clear();
      told.addAll(now);
      cluster.fleet.playFor(5 * TestCluster.MS);
    }
  }

  private void end(String name) throws IOException {
    assertTrue(
        cluster.until(30 * TestCluster.SECOND, cluster::agree),
        () -> cluster.all.stream().map(cluster::told).toList().toString());
    line.say(
        "all agree; "
            + (cluster.audit.violations.isEmpty() ? "no run under an old schema" : "violations"));
    line.isAsKept(name);
  }

  private void alone(String name) {
    line.say(name + " is cut off");
    cluster.all.stream()
        .filter(other -> !other.equals(name))
        .forEach(other -> cluster.fleet.between(name, other, Fault.CUT));
  }

  private void heal() {
    line.say("the links are back");
    cluster.fleet.heal();
  }

  @Test
  void aChangeInACalmFleet() throws IOException {
    settled();
    announce("g1", "17:orders.city is called town", TestCluster.renamed(17, "town"));
    watch(TestCluster.SECOND, 17);
    end("calm");
  }

  @Test
  void aGatewayIsCutOff() throws IOException {
    settled();
    alone("g2");
    announce("g1", "a change that leaves top untouched", TestCluster.untouched(17));
    watch(3 * TestCluster.SECOND, 17);
    heal();
    watch(TestCluster.SECOND, 17);
    end("cut-off");
  }

  @Test
  void aGatewayIsPausedThroughAChange() throws IOException {
    settled();
    line.say("g2 is stopped");
    cluster.pause("g2");
    announce("g1", "a change that removes what top uses", TestCluster.removed(17));
    watch(3 * TestCluster.SECOND, 17);
    line.say("g2 goes on");
    cluster.resume("g2");
    watch(TestCluster.SECOND, 17);
    end("paused");
  }

  @Test
  void aGatewayStartsAgainDuringAChange() throws IOException {
    settled();
    announce("g1", "a change that leaves top untouched", TestCluster.untouched(17));
    line.say("g2 is killed and starts again");
    cluster.kill("g2");
    cluster.start("g2");
    watch(3 * TestCluster.SECOND, 17);
    end("restarted");
  }

  @Test
  void theLeaderDiesAtEachStep() throws IOException {
    settled();
    for (int step = 0; step < 5; step++) {
      announce("g1", "change number " + (step + 1), TestCluster.untouched(17));
      long version = cluster.part("g1").catalog().version(17);
      int at = step;
      cluster.until(
          TestCluster.SECOND,
          () ->
              switch (at) {
                case 0 -> true;
                case 1 ->
                    cluster.voters.stream()
                        .anyMatch(
                            v -> cluster.isUp(v) && !cluster.part(v).catalog().waiting().isEmpty());
                case 2 -> !cluster.part("g1").catalog().waiting().isEmpty();
                case 3 ->
                    cluster.voters.stream()
                        .anyMatch(v -> cluster.part(v).catalog().version(17) > version);
                default -> cluster.part("g1").catalog().version(17) > version;
              });
      String leader = cluster.leader();
      line.say(leader + " is killed, step " + step);
      cluster.kill(leader);
      watch(4 * TestCluster.SECOND, 17);
      line.say(leader + " starts again");
      cluster.start(leader);
      assertTrue(
          cluster.until(
              10 * TestCluster.SECOND,
              () -> cluster.part(leader).voter().orElseThrow().isOperational()));
    }
    end("leader-dies");
  }

  @Test
  void twoChangesOverlapAndOneIsTakenBack() throws IOException {
    settled();
    alone("g2");
    announce("g1", "a change of 17 and 18", TestCluster.untouched(17, 18));
    announce("v1", "a change of 18 and 19", TestCluster.untouched(18, 19));
    announce("v2", "another of 17", TestCluster.untouched(17));
    cluster.until(TestCluster.SECOND, () -> outcomes.size() == 4);
    line.say("the last is taken back");
    cluster.takeBack("g1", outcomes.get(3).id(), outcome -> tell("g1", outcome));
    watch(3 * TestCluster.SECOND, 17, 18, 19);
    line.say("the first is taken back, too late");
    cluster.takeBack("g1", outcomes.get(1).id(), outcome -> tell("g1", outcome));
    watch(TestCluster.SECOND, 17, 18, 19);
    heal();
    watch(TestCluster.SECOND, 17, 18, 19);
    end("overlap");
  }

  @Test
  void changesAreFasterThanASlowGateway() throws IOException {
    settled();
    line.say("all links to and from g2 take half a second to a second");
    cluster.all.forEach(other -> cluster.fleet.between("g2", other, Fault.slow(5000, 10_000)));
    for (int i = 0; i < 5; i++) {
      announce("g1", "change number " + (i + 1), TestCluster.untouched(17));
      watch(600 * TestCluster.MS, 17);
    }
    heal();
    watch(2 * TestCluster.SECOND, 17);
    end("slow");
  }

  @Test
  void aVoterFromAnEmptyDiskAndOneFromAnOldDisk() throws IOException {
    settled();
    NavigableMap<String, byte[]> copy = cluster.copyOf("v2");
    announce("g1", "change number 1", TestCluster.untouched(17));
    watch(TestCluster.SECOND, 17);
    line.say("v2 starts from the disk as it was before that change");
    cluster.startOld("v2", copy);
    assertTrue(
        cluster.until(
            20 * TestCluster.SECOND,
            () -> cluster.part("v2").voter().orElseThrow().isOperational()));
    line.say("v2 takes part again");
    watch(TestCluster.SECOND, 17);
    line.say("v3 starts from an empty disk");
    cluster.startEmpty("v3");
    announce("g1", "change number 2", TestCluster.untouched(17));
    assertTrue(
        cluster.until(
            20 * TestCluster.SECOND,
            () -> cluster.part("v3").voter().orElseThrow().isOperational()));
    line.say("v3 takes part again");
    watch(2 * TestCluster.SECOND, 17);
    cluster.notes.forEach(note -> line.say("told: " + note));
    end("disks");
  }

  @Test
  void oneNameIsPreparedAtTwoGatewaysAtOnceAndDropped() throws IOException {
    settled();
    prepare("g1", "both", "select 1 from orders_17.orders", 17);
    prepare("g2", "both", "select 2 from orders_17.orders", 17);
    watch(TestCluster.SECOND, 17);
    cluster.all.forEach(
        name ->
            line.say(
                name
                    + " has both in generation "
                    + cluster.part(name).lookUp("both").orElseThrow().generation()));
    cluster.drop("v1", "both", outcome -> tell("v1", outcome));
    cluster.fleet.playFor(TestCluster.SECOND);
    line.say("g1 on both: " + cluster.mayRun("g1", "both"));
    prepare("g2", "both", "select 2 from orders_17.orders", 17);
    watch(TestCluster.SECOND, 17);
    line.say("g1 on both: " + cluster.mayRun("g1", "both"));
    end("one-name");
  }
}
