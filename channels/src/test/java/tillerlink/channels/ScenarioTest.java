package tillerlink.channels;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tillerlink.simulation.InMemoryKeyValueStore;

/** Hard cases as kept timelines: what was done, and what readers of each gateway read. */
class ScenarioTest {
  private static final List<String> THREE = List.of("n1", "s1", "w1");
  private static final Path KEPT = Path.of("src/test/resources/stories");

  private final Fleet fleet =
      new Fleet(11, THREE, new ChannelLogConfig(THREE, 100_000, 60_000, 64 << 20, 1000, 8));
  private final List<String> lines = new ArrayList<>();

  private void say(String what) {
    lines.add(String.format("%5.1f s  %s", fleet.net.now() / 1e4, what));
  }

  private void write(String gateway, String text) {
    say(gateway + " takes '" + text + "'");
    fleet.append(gateway, "news", Fleet.cue(text, text));
    fleet.net.playFor(2000);
  }

  private void wait(int seconds) {
    fleet.net.playFor(seconds * Fleet.SECOND);
    fleet.lookAll();
  }

  /**
   * Stable events, a bar, provisional ones; one that came late has its time of origin behind it.
   */
  private void show() {
    for (String name : fleet.names) {
      Channels channels = fleet.running.get(name);
      if (channels == null) {
        lines.add("         " + name + " is down");
        continue;
      }
      StringBuilder line = new StringBuilder();
      boolean tail = false;
      for (Page.Line event : channels.read("news", 0, Fleet.ALL).lines()) {
        line.append(!event.stable() && !tail ? " |" : "").append(' ').append(event.entry().text());
        tail |= !event.stable();
        if (event.late()) {
          line.append(
              String.format(
                  "(late, of %.1f s)", (event.entry().millis() - 1_700_000_000_000L) / 1e3));
        }
      }
      lines.add(
          "         "
              + name
              + ":"
              + line
              + (tail ? "" : " |")
              + "   voters "
              + channels.state().voters()
              + (channels.state().votes() ? "" : ", does not vote yet"));
    }
  }

  private void compareWithKept(String name) throws IOException {
    fleet.assertAuditPasses();
    Path file = KEPT.resolve(name + ".txt");
    String timeline = String.join("\n", lines) + "\n";
    if (Boolean.getBoolean("keep")) {
      Files.writeString(file, timeline);
    }
    assertEquals(Files.readString(file), timeline);
  }

  private void begin() {
    fleet.startAll();
    wait(3);
    write("n1", "a");
    wait(2);
    show();
  }

  @Test
  void aSiteThatIsCutOffIsLeftOutAndIncludedAgain() throws IOException {
    begin();
    say("w1 is cut off");
    fleet.cut(List.of("w1"));
    write("w1", "w-b");
    write("n1", "c");
    write("w1", "w-d");
    wait(3);
    show();
    say("10 s later: left out by agreement, the others go on");
    wait(12);
    write("s1", "e");
    wait(2);
    show();
    say("the cut is over");
    fleet.net.heal();
    write("n1", "f");
    wait(5);
    show();
    compareWithKept("cut-off");
  }

  @Test
  void aVoterWithALostDiskVotesOnlyAfterTheOthersAnswered() throws IOException {
    begin();
    say("w1 is cut off, then s1 is started anew with a lost disk");
    fleet.cut(List.of("w1"));
    write("s1", "b");
    fleet.kill("s1");
    fleet.start("s1", new InMemoryKeyValueStore(fleet.net, 5));
    write("n1", "c");
    write("s1", "d");
    wait(20);
    show();
    say("the cut is over: both others tell s1 what it had agreed to");
    fleet.net.heal();
    wait(8);
    show();
    compareWithKept("lost-disk");
  }

  @Test
  void anOldCopyOfADiskLosesNothingWhenAllRestart() throws IOException {
    begin();
    say("a copy of n1's disk is made");
    var copy = fleet.disks.get("n1").copy();
    write("n1", "b");
    write("w1", "c");
    wait(3);
    say("all are killed; n1 is started on the old copy, the others on their disks");
    fleet.names.forEach(fleet::kill);
    fleet.start("n1", InMemoryKeyValueStore.of(fleet.net, 5, copy));
    write("n1", "d");
    show();
    fleet.start("s1");
    fleet.start("w1");
    wait(8);
    show();
    compareWithKept("old-copy");
  }

  @Test
  void twoGatewaysAgreeThroughTheThird() throws IOException {
    begin();
    say("n1 and s1 no longer hear each other, both hear w1");
    fleet.net.between("n1", "s1", tillerlink.simulation.Fault.CUT);
    write("n1", "b");
    write("s1", "c");
    write("w1", "d");
    wait(30);
    show();
    compareWithKept("through-the-third");
  }
}
