package tillerlink.channels;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import tillerlink.channels.cue.Cue;
import tillerlink.channels.entry.AppendRequest;
import tillerlink.messages.channels.Kind;

/**
 * Tests how concurrent events on one cue are resolved. Two sites write on the cue while a network
 * partition separates them; after it all gateways must show the same text, state and flags. The
 * expected results are those of the table in docs/channels-design.md.
 */
class CueRulesTest {
  private final Fleet fleet =
      new Fleet(5, List.of("n1", "s1", "w1"), ChannelLogConfig.of(List.of("n1", "s1", "w1")));

  private String runPartitioned(Runnable duringPartition) {
    fleet.startAll();
    fleet.net.playFor(Fleet.SECOND);
    write("n1", Kind.CUE, "one");
    fleet.net.playFor(3 * Fleet.SECOND);
    fleet.cut(List.of("s1"));
    duringPartition.run();
    fleet.net.heal();
    fleet.net.playFor(10 * Fleet.SECOND);
    return agreedCue();
  }

  /** Returns the description of the cue, which must be equal at all three gateways. */
  private String agreedCue() {
    fleet.assertAuditPasses();
    String cue = describeCue("n1");
    assertEquals(cue, describeCue("s1"));
    assertEquals(cue, describeCue("w1"));
    return cue;
  }

  private String describeCue(String gateway) {
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

  private void write(String gateway, Kind kind, String text, long airsInMillis) {
    long airsAt = kind == Kind.AIR ? fleet.net.wall(gateway) / 10 + airsInMillis : 0;
    fleet.append(gateway, "news", new AppendRequest(kind, "c", text, airsAt, "", null));
    fleet.net.playFor(1000);
  }

  @Test
  void aCorrectionReplacesTheTextItsWriterHadSeen() {
    assertEquals("'two' of [two] []", runPartitioned(() -> write("n1", Kind.CORRECTION, "two")));
  }

  @Test
  void theLaterOfConcurrentCorrectionsIsInEffectAndBothAreStored() {
    assertEquals(
        "'south' of [north, south] [CONCURRENT]",
        runPartitioned(
            () -> {
              write("n1", Kind.CORRECTION, "north");
              write("s1", Kind.CORRECTION, "south");
            }));
  }

  @Test
  void aCorrectionReplacesBothTextsIfItsWriterHadSeenThem() {
    runPartitioned(
        () -> {
          write("n1", Kind.CORRECTION, "north");
          write("s1", Kind.CORRECTION, "south");
        });
    write("w1", Kind.CORRECTION, "settled");
    fleet.net.playFor(5 * Fleet.SECOND);
    assertEquals("'settled' of [settled] []", agreedCue());
  }

  @Test
  void aRetractionOverridesAConcurrentCorrection() {
    assertEquals(
        "'' of [north] retracted [RETRACTED_UNSEEN]",
        runPartitioned(
            () -> {
              write("n1", Kind.CORRECTION, "north");
              write("s1", Kind.RETRACTION, "");
            }));
  }

  @Test
  void aRetractionOverridesAConcurrentCorrectionThatIsLaterInTheLog() {
    assertEquals(
        "'' of [north] retracted [RETRACTED_UNSEEN]",
        runPartitioned(
            () -> {
              write("s1", Kind.RETRACTION, "");
              write("n1", Kind.CORRECTION, "north");
            }));
  }

  @Test
  void aCorrectionHasNoEffectIfItsWriterHadSeenTheRetraction() {
    assertEquals(
        "'' of [] retracted [CORRECTED_RETRACTED]",
        runPartitioned(
            () -> {
              write("n1", Kind.RETRACTION, "");
              write("n1", Kind.CORRECTION, "two");
            }));
  }

  @Test
  void aNewCueWrittenAfterTheRetractionReplacesTheRetractedOne() {
    assertEquals(
        "'new' of [new] []",
        runPartitioned(
            () -> {
              write("n1", Kind.RETRACTION, "");
              write("n1", Kind.CUE, "new");
            }));
  }

  @Test
  void aNewCueStaysRetractedIfItsWriterHadSeenOnlyOneOfTwoRetractions() {
    assertEquals(
        "'' of [new] retracted [RETRACTED_UNSEEN]",
        runPartitioned(
            () -> {
              write("n1", Kind.RETRACTION, "");
              write("s1", Kind.RETRACTION, "");
              write("s1", Kind.CUE, "new");
            }));
  }

  @Test
  void anEventWrittenAfterTheCueAiredHasNoEffect() {
    assertEquals(
        "'one' of [one] airs [AFTER_AIR]",
        runPartitioned(
            () -> {
              write("n1", Kind.AIR, "", 300);
              fleet.net.playFor(Fleet.SECOND);
              write("n1", Kind.CORRECTION, "too late");
            }));
  }

  @Test
  void anEventThatBecameStableAfterTheCueAiredHasNoEffect() {
    assertEquals(
        "'one' of [one] airs [AFTER_AIR]",
        runPartitioned(
            () -> {
              write("n1", Kind.AIR, "", 5000);
              write("s1", Kind.CORRECTION, "in time, but cut off");
              for (int i = 0; i < 50; i++) {
                fleet.net.playFor(Fleet.SECOND);
                fleet.append(
                    "n1", "other", new AppendRequest(Kind.NOTE, "", "still running", 0, "", null));
              }
            }));
  }

  @Test
  void anAirMarkWrittenAfterItsAirTimeTakesTheTimeOfWriting() {
    assertEquals(
        "'two' of [two] airs [AIR_PASSED]",
        runPartitioned(
            () -> {
              write("n1", Kind.CORRECTION, "two");
              write("n1", Kind.AIR, "", -60_000);
            }));
  }

  @Test
  void theEarlierOfConcurrentAirMarksIsInEffect() {
    assertEquals(
        "'one' of [one] airs [AIR_TWICE]",
        runPartitioned(
            () -> {
              write("n1", Kind.AIR, "", 400_000);
              write("s1", Kind.AIR, "", 500_000);
            }));
  }

  @Test
  void anAirMarkOfARetractedCueHasNoEffect() {
    assertEquals(
        "'' of [] retracted [AIR_OF_RETRACTED]",
        runPartitioned(
            () -> {
              write("n1", Kind.RETRACTION, "");
              write("n1", Kind.AIR, "", 1000);
            }));
  }

  @Test
  void twoConcurrentCuesOfTheSameNameAreBothStored() {
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
  void aCorrectionOfAnUnknownCueIsStoredAndFlagged() {
    fleet.startAll();
    write("n1", Kind.CORRECTION, "of nothing");
    fleet.net.playFor(5 * Fleet.SECOND);
    assertEquals("'of nothing' of [of nothing] [NO_CUE]", agreedCue());
  }

  @Test
  void theSameKeyOnBothSidesOfAPartitionGivesOneEventAndOneRepeat() {
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
    String[] retryId = new String[1];
    fleet.append(
        "w1",
        "news",
        new AppendRequest(Kind.CUE, "c", "once", 0, "key", null),
        dot -> retryId[0] = dot.text());
    assertEquals(page.lines().get(0).entry().dot().text(), retryId[0]);
  }
}
