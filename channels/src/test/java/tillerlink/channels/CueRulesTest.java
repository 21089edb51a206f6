package tillerlink.channels;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import tillerlink.channels.cue.Cue;
import tillerlink.channels.entry.AppendRequest;
import tillerlink.messages.channels.Kind;

/**
 * The table of docs/channels-design.md: two sites write on one cue while they are cut off from each
 * other.
 */
class CueRulesTest {
  private final Fleet fleet =
      new Fleet(5, List.of("n1", "s1", "w1"), ChannelLogConfig.of(List.of("n1", "s1", "w1")));

  private String play(Runnable apart) {
    fleet.startAll();
    fleet.net.playFor(Fleet.SECOND);
    write("n1", Kind.CUE, "one");
    fleet.net.playFor(3 * Fleet.SECOND);
    fleet.cut(List.of("s1"));
    apart.run();
    fleet.net.heal();
    fleet.net.playFor(10 * Fleet.SECOND);
    return agreedCue();
  }

  /** The cue as all three gateways show it once all is stable. */
  private String agreedCue() {
    fleet.assertAuditPasses();
    String cue = shown("n1");
    assertEquals(cue, shown("s1"));
    assertEquals(cue, shown("w1"));
    return cue;
  }

  private String shown(String gateway) {
    Cue cue = fleet.running.get(gateway).cues("news").get(0);
    return "'"
        + cue.text()
        + "' of "
        + cue.versions().stream().map(Cue.Version::text).toList()
        + " "
        + (cue.isRetracted() ? "retracted " : "")
        + (cue.airsAt() > 0 ? "airs " : "")
        + cue.flags();
  }

  private void write(String gateway, Kind kind, String text) {
    write(gateway, kind, text, 0);
  }

  private void write(String gateway, Kind kind, String text, long airsIn) {
    long airs = kind == Kind.AIR ? fleet.net.wall(gateway) / 10 + airsIn : 0;
    fleet.append(gateway, "news", new AppendRequest(kind, "c", text, airs, "", null));
    fleet.net.playFor(1000);
  }

  @Test
  void aCorrectionReplacesWhatItsWriterSaw() {
    assertEquals("'two' of [two] []", play(() -> write("n1", Kind.CORRECTION, "two")));
  }

  @Test
  void ofConcurrentCorrectionsTheLaterStandsAndBothAreKept() {
    assertEquals(
        "'south' of [north, south] [CONCURRENT]",
        play(
            () -> {
              write("n1", Kind.CORRECTION, "north");
              write("s1", Kind.CORRECTION, "south");
            }));
  }

  @Test
  void aCorrectionThatSawBothTextsReplacesThem() {
    play(
        () -> {
          write("n1", Kind.CORRECTION, "north");
          write("s1", Kind.CORRECTION, "south");
        });
    write("w1", Kind.CORRECTION, "settled");
    fleet.net.playFor(5 * Fleet.SECOND);
    assertEquals("'settled' of [settled] []", agreedCue());
  }

  @Test
  void aRetractionStandsOverAConcurrentCorrection() {
    assertEquals(
        "'' of [north] retracted [RETRACTED_UNSEEN]",
        play(
            () -> {
              write("n1", Kind.CORRECTION, "north");
              write("s1", Kind.RETRACTION, "");
            }));
  }

  @Test
  void aRetractionStandsOverAConcurrentCorrectionThatIsLaterInTheOrder() {
    assertEquals(
        "'' of [north] retracted [RETRACTED_UNSEEN]",
        play(
            () -> {
              write("s1", Kind.RETRACTION, "");
              write("n1", Kind.CORRECTION, "north");
            }));
  }

  @Test
  void aCorrectionOfWhatIsKnownToBeRetractedChangesNothing() {
    assertEquals(
        "'' of [] retracted [CORRECTED_RETRACTED]",
        play(
            () -> {
              write("n1", Kind.RETRACTION, "");
              write("n1", Kind.CORRECTION, "two");
            }));
  }

  @Test
  void aNewCueAfterTheRetractionStartsAnew() {
    assertEquals(
        "'anew' of [anew] []",
        play(
            () -> {
              write("n1", Kind.RETRACTION, "");
              write("n1", Kind.CUE, "anew");
            }));
  }

  @Test
  void aNewCueThatSawOnlyOneOfTwoRetractionsStaysRetracted() {
    assertEquals(
        "'' of [anew] retracted [RETRACTED_UNSEEN]",
        play(
            () -> {
              write("n1", Kind.RETRACTION, "");
              write("s1", Kind.RETRACTION, "");
              write("s1", Kind.CUE, "anew");
            }));
  }

  @Test
  void anEventWrittenAfterTheCueAiredChangesNothing() {
    assertEquals(
        "'one' of [one] airs [AFTER_AIR]",
        play(
            () -> {
              write("n1", Kind.AIR, "", 300);
              fleet.net.playFor(Fleet.SECOND);
              write("n1", Kind.CORRECTION, "too late");
            }));
  }

  @Test
  void anEventThatBecameStableAfterTheCueAiredChangesNothing() {
    assertEquals(
        "'one' of [one] airs [AFTER_AIR]",
        play(
            () -> {
              write("n1", Kind.AIR, "", 5000);
              write("s1", Kind.CORRECTION, "in time, but cut off");
              for (int i = 0; i < 50; i++) {
                fleet.net.playFor(Fleet.SECOND);
                fleet.append(
                    "n1", "other", new AppendRequest(Kind.NOTE, "", "goes on", 0, "", null));
              }
            }));
  }

  @Test
  void anAirMarkWrittenAfterItsTimeCountsFromWhenItWasWritten() {
    assertEquals(
        "'two' of [two] airs [AIR_PASSED]",
        play(
            () -> {
              write("n1", Kind.CORRECTION, "two");
              write("n1", Kind.AIR, "", -60_000);
            }));
  }

  @Test
  void ofConcurrentAirMarksTheEarlierTimeStands() {
    assertEquals(
        "'one' of [one] airs [AIR_TWICE]",
        play(
            () -> {
              write("n1", Kind.AIR, "", 400_000);
              write("s1", Kind.AIR, "", 500_000);
            }));
  }

  @Test
  void anAirMarkOfARetractedCueHasNoEffect() {
    assertEquals(
        "'' of [] retracted [AIR_OF_RETRACTED]",
        play(
            () -> {
              write("n1", Kind.RETRACTION, "");
              write("n1", Kind.AIR, "", 1000);
            }));
  }

  @Test
  void twoConcurrentCuesOfOneNameAreBothKept() {
    fleet.startAll();
    fleet.net.playFor(Fleet.SECOND);
    fleet.cut(List.of("s1"));
    write("n1", Kind.CUE, "north");
    write("s1", Kind.CUE, "south");
    fleet.net.heal();
    fleet.net.playFor(10 * Fleet.SECOND);
    assertEquals("'south' of [north, south] [CONCURRENT]", agreedCue());
  }

  @Test
  void aCorrectionOfNoCueIsKeptAndFlagged() {
    fleet.startAll();
    write("n1", Kind.CORRECTION, "of nothing");
    fleet.net.playFor(5 * Fleet.SECOND);
    assertEquals("'of nothing' of [of nothing] [NO_CUE]", agreedCue());
  }

  @Test
  void theSameKeyOnBothSidesOfAPartitionIsOneEventAndItsRepeat() {
    fleet.startAll();
    fleet.net.playFor(Fleet.SECOND);
    fleet.cut(List.of("s1"));
    fleet.append("n1", "news", new AppendRequest(Kind.CUE, "c", "once", 0, "key", null));
    fleet.net.playFor(1000);
    fleet.append("s1", "news", new AppendRequest(Kind.CUE, "c", "once", 0, "key", null));
    fleet.net.heal();
    fleet.net.playFor(10 * Fleet.SECOND);
    assertEquals("'once' of [once] []", agreedCue());
    Page page = fleet.running.get("s1").read("news", 0, Fleet.ALL);
    assertEquals(List.of(false, true), page.lines().stream().map(Page.Line::repeat).toList());
    String[] again = new String[1];
    fleet.append(
        "w1",
        "news",
        new AppendRequest(Kind.CUE, "c", "once", 0, "key", null),
        dot -> again[0] = dot.text());
    assertEquals(page.lines().get(0).entry().dot().text(), again[0]);
  }
}
