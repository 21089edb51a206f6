package tillerlink.channels;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tillerlink.simulation.InMemoryKeyValueStore;

/**
 * Compares scenarios with stored timelines, which list the actions and what readers of each gateway
 * read. With {@code -Dkeep=true} the tests overwrite the stored timelines.
 */
class ScenarioTest {
  private static final List<String> GATEWAYS = List.of("n1", "s1", "w1");
  private static final Path TIMELINES = Path.of("src/test/resources/stories");

  private final Fleet fleet =
      new Fleet(11, GATEWAYS, new ChannelLogConfig(GATEWAYS, 100_000, 60_000, 64 << 20, 1000, 8));
  private final List<String> timelineLines = new ArrayList<>();

  private void addAction(String action) {
    timelineLines.add(String.format("%5.1f s  %s", fleet.net.now() / 1e4, action));
  }

  private void write(String gateway, String text) {
    addAction(gateway + " takes '" + text + "'");
    fleet.append(gateway, "news", Fleet.cue(text, text));
    fleet.net.playFor(2000);
  }

  private void runFor(int seconds) {
    fleet.net.playFor(seconds * Fleet.SECOND);
    fleet.readAll();
  }

  /**
   * Appends a line for each gateway to the timeline: the stable events, a bar, the provisional
   * events and the voters. An event that came late is followed by the time at which it was written.
   */
  private void addReadings() {
    for (String name : fleet.names) {
      Channels channels = fleet.running.get(name);
      if (channels == null) {
        timelineLines.add("         " + name + " is down");
        continue;
      }
      StringBuilder line = new StringBuilder();
      boolean hasProvisional = false;
      for (Page.Line event : channels.read("news", 0, Fleet.ALL).lines()) {
        line.append(!event.stable() && !hasProvisional ? " |" : "")
            .append(' ')
            .append(event.entry().text());
        hasProvisional |= !event.stable();
        if (event.late()) {
          line.append(
              String.format(
                  "(late, of %.1f s)", (event.entry().millis() - 1_700_000_000_000L) / 1e3));
        }
      }
      timelineLines.add(
          "         "
              + name
              + ":"
              + line
              + (hasProvisional ? "" : " |")
              + "   voters "
              + channels.state().voters()
              + (channels.state().votes() ? "" : ", does not vote yet"));
    }
  }

  private void assertEqualsStoredTimeline(String name) throws IOException {
    fleet.assertAuditPasses();
    Path file = TIMELINES.resolve(name + ".txt");
    String timeline = String.join("\n", timelineLines) + "\n";
    if (Boolean.getBoolean("keep")) {
      Files.writeString(file, timeline);
    }
    assertEquals(Files.readString(file), timeline);
  }

  private void startWithOneEvent() {
    fleet.startAll();
    runFor(3);
    write("n1", "a");
    runFor(2);
    addReadings();
  }

  @Test
  void anIsolatedSiteIsRemovedFromTheVotersAndAddedAgain() throws IOException {
    startWithOneEvent();
    addAction("w1 is cut off");
    fleet.cut(List.of("w1"));
    write("w1", "w-b");
    write("n1", "c");
    write("w1", "w-d");
    runFor(3);
    addReadings();
    addAction("10 s later: left out by agreement, the others go on");
    runFor(12);
    write("s1", "e");
    runFor(2);
    addReadings();
    addAction("the cut is over");
    fleet.net.heal();
    write("n1", "f");
    runFor(5);
    addReadings();
    assertEqualsStoredTimeline("cut-off");
  }

  @Test
  void aVoterWithALostDiskVotesOnlyAfterTheOthersAnswered() throws IOException {
    startWithOneEvent();
    addAction("w1 is cut off, then s1 is started anew with a lost disk");
    fleet.cut(List.of("w1"));
    write("s1", "b");
    fleet.kill("s1");
    fleet.start("s1", new InMemoryKeyValueStore(fleet.net, 5));
    write("n1", "c");
    write("s1", "d");
    runFor(20);
    addReadings();
    addAction("the cut is over: both others tell s1 what it had agreed to");
    fleet.net.heal();
    runFor(8);
    addReadings();
    assertEqualsStoredTimeline("lost-disk");
  }

  @Test
  void aRestartOfAllGatewaysWithAnOldDiskCopyLosesNoEvents() throws IOException {
    startWithOneEvent();
    addAction("a copy of n1's disk is made");
    var copy = fleet.disks.get("n1").copy();
    write("n1", "b");
    write("w1", "c");
    runFor(3);
    addAction("all are killed; n1 is started on the old copy, the others on their disks");
    fleet.names.forEach(fleet::kill);
    fleet.start("n1", InMemoryKeyValueStore.of(fleet.net, 5, copy));
    write("n1", "d");
    addReadings();
    fleet.start("s1");
    fleet.start("w1");
    runFor(8);
    addReadings();
    assertEqualsStoredTimeline("old-copy");
  }

  @Test
  void twoGatewaysWithoutALinkAgreeThroughTheThird() throws IOException {
    startWithOneEvent();
    addAction("n1 and s1 no longer hear each other, both hear w1");
    fleet.net.between("n1", "s1", tillerlink.simulation.Fault.CUT);
    write("n1", "b");
    write("s1", "c");
    write("w1", "d");
    runFor(30);
    addReadings();
    assertEqualsStoredTimeline("through-the-third");
  }
}
