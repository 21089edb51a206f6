package tillerlink;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static tillerlink.model.AttemptOutcome.CANCELLED;
import static tillerlink.model.AttemptOutcome.CONNECTION_LOST;
import static tillerlink.model.AttemptOutcome.CONNECT_FAILED;
import static tillerlink.model.AttemptOutcome.FAILED;
import static tillerlink.model.AttemptOutcome.REJECTED;
import static tillerlink.model.AttemptOutcome.SUCCEEDED;
import static tillerlink.model.AttemptOutcome.TIMED_OUT;
import static tillerlink.model.Engine.Status.DRAINING;
import static tillerlink.model.Engine.Status.GONE;
import static tillerlink.model.Engine.Status.READY;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Each test plays a short story and compares what the module ordered with the trace kept for it.
 */
class DefaultDispatchPolicyTest {
  @Test
  void fewestOfTheClassPerCore() {
    Trace t = new Trace().up("a0", "big0");
    for (int i = 1; i <= 6; i++) {
      t.arrive("s" + i, 0, 100, i, null);
    }
    t.matches("fewest");
  }

  @Test
  void warmGroupBreaksTies() {
    Trace t = new Trace().requestClass("repeatable").up("a0", "b0", "c0");
    t.arrive("first", 0, 100, 9, null).pass(100).end("first", SUCCEEDED);
    t.say("idle again: the group's engine is warm").arrive("second", 0, 100, 9, null);
    t.pass(100).end("second", SUCCEEDED);
    t.say("busy with another class: warmth no longer draws")
        .arrive("other", 1, 100, 9, null)
        .arrive("third", 0, 100, 9, null);
    t.matches("warm");
  }

  @Test
  void queueIsFirstComeUnderPressure() {
    Trace t = new Trace().set("instances", 8L).up("a0", "b0");
    t.arrive("s1", 0, 300)
        .arrive("s2", 0, 300)
        .end("s1", REJECTED)
        .say("pressure: one or two threads an engine");
    t.arrive("s3", 0, 300).arrive("s4", 0, 300).arrive("s5", 0, 300).arrive("s6", 0, 300);
    t.pass(300).end("s2", SUCCEEDED).pass(20).end("s1", SUCCEEDED).pass(20).end("s3", SUCCEEDED);
    t.pass(1500).matches("fifo");
  }

  @Test
  void pressureAtOneEngineBoundsAll() {
    Trace t = new Trace().set("instances", 8L).up("a0", "b0", "c0");
    t.arrive("s1", 0, 300)
        .end("s1", REJECTED)
        .say("one engine was full: the others are not flooded");
    for (int i = 2; i <= 8; i++) {
      t.arrive("s" + i, 0, 300);
    }
    t.matches("bounds-all");
  }

  /**
   * Guards a gateway with several times the traffic of the others: while its attempts come back at
   * an easy pace, a sum of threads over its share of the fleet is no reason to hold or reject. At a
   * pace far above the best, it is.
   */
  @Test
  void moreThanAShareMayBeOutWhileThePaceIsEasy() {
    Trace t = new Trace().set("instances", 8L).up("a0", "b0");
    for (int i = 1; i <= 12; i++) {
      t.arrive("k" + i, 0, 100, i, null).pass(100).end("k" + i, SUCCEEDED);
    }
    t.say("an easy pace: eight are out, of a share of two threads");
    for (int i = 1; i <= 8; i++) {
      t.arrive("s" + i, 0, 100, i, null);
    }
    t.pass(190);
    for (int i = 1; i <= 8; i++) {
      t.end("s" + i, SUCCEEDED).arrive("t" + i, 0, 100, i, null);
    }
    t.pass(190);
    for (int i = 1; i <= 8; i++) {
      t.end("t" + i, SUCCEEDED);
    }
    t.say("all took nearly twice as long, on no engine far too long: now the sum is bounded");
    for (int i = 1; i <= 8; i++) {
      t.arrive("u" + i, 0, 100, i, null);
    }
    t.matches("easy-pace");
  }

  @Test
  void whereAShareIsLessThanAQueryTheJammedEngineComesLast() {
    Trace t =
        new Trace()
            .set(
                "instances",
                10L,
                "family_info.width_by_class",
                List.of(1, 3),
                "report.fields",
                List.of("cpu_share"))
            .requestClass("repeatable");
    t.up("a0", "b0", "c0").arrive("s1", 0, 300).pass(300).end("s1", SUCCEEDED, 1);
    t.say("one engine of three is busy: a heavy query and two look-ups share the other two")
        .arrive("r1", 1, 900)
        .arrive("s2", 0, 300)
        .arrive("s3", 0, 300);
    t.say("only then the busy one, for the one query that may always fly")
        .arrive("s4", 0, 300)
        .arrive("s5", 0, 300)
        .matches("jammed-last");
  }

  @Test
  void doubtAtAQuarterOfTheEnginesBoundsTheRest() {
    Trace t = new Trace().set("instances", 8L).up("a0", "b0", "c1", "d1");
    t.arrive("s1", 0, 300)
        .end("s1", CONNECT_FAILED)
        .say("one engine of four is in doubt: the others take one thread each");
    for (int i = 2; i <= 6; i++) {
      t.arrive("s" + i, 0, 300, i, null);
    }
    t.matches("doubt-bounds");
  }

  @Test
  void gatewayJustStartedDoesNotFloodTheFewEnginesItKnows() {
    Trace t = new Trace().set("family_info.width_by_class", List.of(5)).up("a0");
    for (int i = 1; i <= 5; i++) {
      t.arrive("s" + i, 0, 300, i, null);
    }
    t.say(
            "10 threads are over one and a half of this gateway's share and of one query of each"
                + " class")
        .matches("flood");
  }

  @Test
  void effectfulNeverRunsTwice() {
    Trace t = new Trace().requestClass("once").up("a0", "b0");
    t.arrive("unseen", 1, 100)
        .end("unseen", CONNECT_FAILED)
        .pass(50)
        .end("unseen", CONNECTION_LOST);
    t.arrive("erred", 1, 100).end("erred", FAILED);
    t.arrive("silent", 1, 100).pass(6000).end("silent", TIMED_OUT);
    t.matches("effectful");
  }

  @Test
  void receiptedStaysInItsZoneAndWindow() {
    Trace t =
        new Trace()
            .requestClass("by_key", "group", "zone", "window", 3000L)
            .up("a0", "b0", "c1", "d1");
    t.arrive("r1", 1, 100)
        .end("r1", CONNECTION_LOST)
        .end("r1", CONNECTION_LOST)
        .pass(350)
        .say("the window of 300 ms has passed");
    t.end("r1", CONNECTION_LOST).matches("receipted");
  }

  @Test
  void nothingNewToADrainingEngine() {
    Trace t = new Trace().up("a0", "b0").list("b0", DRAINING, 0);
    t.arrive("s1", 0, 100).arrive("s2", 0, 100).list("a0", GONE, 0).arrive("s3", 0, 100);
    t.list("c0", READY, 0).pass(10).matches("drain");
  }

  @Test
  void coldEngineGetsOnlyItsShare() {
    Trace t = new Trace().up("a0").pass(5000).list("b0", READY, 1000);
    t.say("b0 started a second ago: 8 cores x 0.3 x 2.5 x 1.5 s / 2 gateways, a third of it used");
    for (int i = 1; i <= 8; i++) {
      t.arrive("s" + i, 0, 400, i, null);
    }
    t.matches("cold");
  }

  /**
   * Guards a cold engine that each of many gateways has less than an attempt for: all together they
   * use it, and send in a span what it may have, to the attempt. Without turns nobody uses it until
   * it is warm, with draws it is more or less.
   */
  @Test
  void manyGatewaysTakeTurnsAtAColdEngine() {
    for (long ago : new long[] {1500, 1717, 2500, 4000}) {
      long sent = 0;
      for (long me = 0; me < 200; me++) {
        Trace t =
            new Trace().set("instances", 200L, "me", me).up().pass(5000).list("b0", READY, ago);
        sent += t.arrive("s1", 0, 100).sends();
      }
      // 8 cores x 2.5 x 1.5 s is 30 s of work, times the warmth; of that 0.35, in attempts of 0.1
      // s.
      double may = 300 * 0.35 * (0.3 + 0.7 * ago * ago / 1e8);
      assertTrue(
          Math.abs(sent - may) <= 2, sent + " hops of " + may + ", " + ago + " ms after the start");
    }
  }

  /**
   * Guards where a gateway does not know its number among the others: its turns are as good as
   * drawn.
   */
  @Test
  void withoutANumberTurnsAreAsGoodAsDrawn() {
    for (long seed : new long[] {1, 2, 3}) {
      Random seeds = new Random(seed);
      long sent = 0;
      for (int i = 0; i < 200; i++) {
        Trace t =
            new Trace()
                .set("instances", 200L)
                .seed(seeds.nextLong())
                .up()
                .pass(5000)
                .list("b0", READY, 1500);
        sent += t.arrive("s1", 0, 100).sends();
      }
      // 32 as above, and twice its root either way.
      assertTrue(sent >= 20 && sent <= 44, sent + " hops at seed " + seed);
    }
  }

  /**
   * Guards a cold engine of which others may not have been told: in its first span the sum grows
   * from nothing.
   */
  @Test
  void aColdEngineIsGivenLittleAtFirst() {
    long sent = 0;
    for (long me = 0; me < 200; me++) {
      Trace t = new Trace().set("instances", 200L, "me", me).up().pass(5000).list("b0", READY, 150);
      sent += t.arrive("s1", 0, 100).sends();
    }
    assertTrue(sent >= 2 && sent <= 5, sent + " hops, a tenth of a span after the start");
  }

  /**
   * Guards the cold engine whose turn it is: among engines that hold as little, it comes first, or
   * the turn is lost.
   */
  @Test
  void aColdEngineWhoseTurnItIsComesFirst() {
    long sent = 0;
    for (long me = 0; me < 200; me++) {
      Trace t = new Trace().set("instances", 200L, "me", me).up("a0", "b0", "c0", "d0").pass(5000);
      sent += t.list("x0", READY, 1500).arrive("s1", 0, 100).sendsTo("x0");
    }
    assertTrue(sent >= 30 && sent <= 34, sent + " hops");
  }

  @Test
  void restartedGatewayLeavesColdEnginesAloneAtFirst() {
    Trace t = new Trace().up().list("a0", READY, 1000);
    t.arrive("s1", 0, 100)
        .pass(1600)
        .say("the stated span of 1.5 s has passed")
        .arrive("s2", 0, 100)
        .matches("cold-restart");
  }

  @Test
  void keysTakeTurnsAndRestAfterDoubt() {
    Trace t =
        new Trace()
            .requestClass("repeatable", "keep_order", true)
            .set("guarantees.settle_after_doubt", 3000L);
    t.up("a0", "b0")
        .arrive("k1", 1, 100, 1, "x")
        .arrive("k2", 1, 100, 1, "x")
        .arrive("other", 1, 100, 1, "y");
    t.pass(100)
        .end("k1", SUCCEEDED)
        .pass(100)
        .end("k2", CONNECTION_LOST)
        .pass(50)
        .end("k2", SUCCEEDED)
        .arrive("k3", 1, 100, 1, "x")
        .pass(400)
        .matches("order");
  }

  @Test
  void placementIsKeptEvenWhenAllAllowedAreDown() {
    Trace t = new Trace().requestClass("repeatable", "zones_open", List.of(1)).up("a0", "b1");
    t.arrive("s1", 1, 100)
        .end("s1", CONNECT_FAILED)
        .pass(100)
        .list("b1", GONE, 0)
        .arrive("s2", 1, 100);
    t.pass(2000).matches("placement");
  }

  @Test
  void furtherAttemptsStayInTheBudget() {
    Trace t =
        new Trace()
            .set(
                "guarantees.budget_span",
                50000L,
                "guarantees.extra_floor",
                1.0,
                "guarantees.further_ratio",
                0.0)
            .up("a0", "b0");
    t.arrive("s1", 0, 100).end("s1", FAILED).arrive("s2", 0, 100).end("s2", FAILED);
    t.pass(6000)
        .say("the span has passed")
        .end("s1", SUCCEEDED)
        .arrive("s3", 0, 100)
        .end("s3", FAILED);
    t.matches("budget");
  }

  @Test
  void listIsFollowedAgainAfterAFailure() {
    new Trace()
        .set("discovery", "ask", "guarantees.ask_within", 100000L)
        .up("a0")
        .listFails()
        .pass(3000)
        .matches("ask");
  }

  @Test
  void silentEngineLosesItsWorkAndIsTriedAgain() {
    Trace t = new Trace().up("a0", "b0");
    t.arrive("s1", 0, 100, 1, null).arrive("s2", 0, 100, 2, null).pass(100).end("s2", SUCCEEDED);
    t.pass(500).say("s1 is called off and sent anew").end("s1", CANCELLED);
    for (int i = 3; i <= 6; i++) {
      t.arrive("s" + i, 0, 100, i, null);
    }
    t.pass(9000)
        .say("it is never quite forgotten")
        .arrive("s7", 0, 100, 7, null)
        .arrive("s8", 0, 100, 8, null);
    t.matches("silent");
  }

  @Test
  void crashedEngineCountsAsColdWhenItReturns() {
    Trace t = new Trace().up("a0").pass(5000);
    t.arrive("s0", 0, 100, 1, null)
        .arrive("s1", 0, 100, 1, null)
        .list("b0", READY, 0)
        .end("s0", CONNECTION_LOST)
        .end("s1", CONNECTION_LOST);
    t.pass(100).end("s0", SUCCEEDED).end("s1", SUCCEEDED).pass(7000);
    t.say("in doubt no more, but perhaps cold: room there for 3 s of work once, then for 100 ms");
    for (int i = 2; i <= 5; i++) {
      t.arrive("big" + i, 0, 3000, i, null);
    }
    t.arrive("small", 0, 100, 6, null).matches("crashed");
  }

  /** Guards against taking a connection that the network dropped for a process that died. */
  @Test
  void oneDroppedConnectionIsNoCrash() {
    Trace t =
        new Trace().up("a0").pass(5000).arrive("s1", 0, 100, 1, null).arrive("s2", 0, 100, 1, null);
    t.list("b0", READY, 0)
        .end("s1", CONNECTION_LOST)
        .end("s2", SUCCEEDED)
        .end("s1", SUCCEEDED)
        .pass(7000);
    for (int i = 3; i <= 6; i++) {
      t.arrive("big" + i, 0, 2000, i, null);
    }
    t.say("both are warm: 2 s of work goes to either").matches("dropped");
  }

  /**
   * Guards against an engine that errs at once and draws what the others can't take, trial after
   * trial.
   */
  @Test
  void aFailedTrialSpeaksForTheFailures() {
    Trace t = new Trace().up("a0", "b0");
    for (int i = 1; i <= 16; i++) {
      t.arrive("s" + i, 0, 100, i, null).pass(10).end("s" + i, SUCCEEDED);
    }
    t.say("from now on a0 errs at once");
    for (int i = 17; i <= 40; i++) {
      t.arrive("t" + i, 0, 100, i, null).pass(10).endAll("t" + i, "a0");
    }
    t.matches("trials");
  }

  /** Guards the engines' record, and the budget, against what no engine can use. */
  @Test
  void whatTwoEnginesErrOnIsGivenUp() {
    Trace t = new Trace().up("a0", "b0", "c0");
    for (int i = 1; i <= 3; i++) {
      t.arrive("bad" + i, 0, 100, i, null).end("bad" + i, FAILED).end("bad" + i, FAILED);
    }
    t.say("none is in doubt")
        .arrive("s1", 0, 100, 1, null)
        .arrive("s2", 0, 100, 2, null)
        .arrive("s3", 0, 100, 3, null);
    t.matches("unusable");
  }

  /** Guards against pressure seen where only estimates are low, before anything is known. */
  @Test
  void beforeARequestClassesPaceIsKnownItsSoftLimitTellsAStall() {
    Trace t = new Trace().up("a0", "b0").arrive("s1", 0, 30, 1, null).arrive("s2", 0, 30, 2, null);
    t.pass(200).say("six estimates old: no pressure yet");
    for (int i = 3; i <= 12; i++) {
      t.arrive("s" + i, 0, 30, i, null);
    }
    t.matches("unknown-pace");
  }

  @Test
  void workThatTimedOutStillCountsWhereItCannotBeCalledOff() {
    Trace t =
        new Trace()
            .set(
                "instances",
                8L,
                "caps.may_cancel",
                false,
                "family_info.width_by_class",
                List.of(2));
    t.up("a0").arrive("s1", 0, 300);
    for (int i = 0; i < 15; i++) {
      t.pass(200).note("s1", 0.1);
    }
    t.end("s1", TIMED_OUT).say("a0 is slow, and s1 runs on there: no more for now");
    t.arrive("s2", 0, 100).pass(2000).matches("lost-threads");
  }

  @Test
  void engineIsUsedAgainAfterACut() {
    Trace t = new Trace().set("instances", 8L, "caps.may_cancel", false).up("a0", "b0");
    t.arrive("s1", 0, 300, 1, null).arrive("s2", 0, 300, 2, null).pass(5000).end("s1", TIMED_OUT);
    t.end("s2", TIMED_OUT).say("nothing was heard: what timed out does not count as running there");
    t.arrive("s3", 0, 100, 3, null)
        .pass(100)
        .end("s3", SUCCEEDED)
        .arrive("s4", 0, 100, 4, null)
        .arrive("s5", 0, 100, 5, null)
        .matches("cut");
  }

  @Test
  void jamThatAnswersNothingIsSeenByTheAgeOfWhatIsOut() {
    Trace t =
        new Trace()
            .set("instances", 8L)
            .requestClass("repeatable", "late_worth", 0.3)
            .up("a0", "b0");
    for (int i = 1; i <= 8; i++) {
      t.arrive("k" + i, 1, 100, i, null).pass(100).end("k" + i, SUCCEEDED);
    }
    t.arrive("s1", 1, 100, 1, null)
        .arrive("s2", 1, 100, 2, null)
        .pass(350)
        .say("both are out three times too long");
    t.arrive("s3", 1, 100, 3, null).arrive("s4", 1, 100, 4, null).pass(3000).matches("stall");
  }

  @Test
  void whereNotesComeAnUnderratedAttemptIsNotCalledSilent() {
    Trace t =
        new Trace()
            .set("family_info.tells_every", 20000L)
            .up("a0", "b0")
            .arrive("s1", 0, 80)
            .pass(900);
    t.say("ten times its estimate, but a note is not due before 2 s").end("s1", SUCCEEDED);
    t.matches("notes-due");
  }

  @Test
  void underPressureNothingIsSentThatItsClientLeavesBefore() {
    Trace t =
        new Trace().set("instances", 8L).up("a0", "b0").arrive("s1", 0, 300).end("s1", REJECTED);
    t.say("pressure: of two clients that wait 400 ms, one has work for longer").patience(400);
    t.arrive("s2", 0, 500)
        .arrive("s3", 0, 100)
        .pass(50)
        .end("s1", SUCCEEDED)
        .matches("little-time");
  }

  @Test
  void anEngineNotHeardForLongIsNotIdle() {
    Trace t = new Trace().set("report.fields", List.of("cpu_share")).up("a0", "b0");
    t.arrive("s1", 0, 100, 1, null).arrive("s2", 0, 100, 2, null).end("s1", SUCCEEDED, 0.9);
    t.end("s2", SUCCEEDED, 0.4)
        .say("one said 90% busy, the other 40%, and goes on saying so")
        .pass(900);
    for (int i = 3; i <= 7; i++) {
      t.arrive("s" + i, 0, 100, i, null).pass(100).end("s" + i, SUCCEEDED, 0.4);
    }
    t.matches("unheard");
  }

  @Test
  void afterAStallOutcomesCountFirstAndLateOnesAreAnsweredOnce() {
    Trace t =
        new Trace()
            .up("a0", "b0")
            .arrive("s1", 0, 100, 1, null)
            .arrive("s2", 0, 100, 2, null)
            .stall(900);
    t.say("nothing could be heard for 900 ms: s1's end comes before any age is judged")
        .end("s1", SUCCEEDED);
    t.arrive("s3", 0, 100, 3, null)
        .stall(1600)
        .arrive("s4", 0, 100, 4, null)
        .pass(100)
        .matches("stood-still");
  }

  @Test
  void ofARequestClassNotYetKnownMoreIsAskedOfABadPlan() {
    Trace t = new Trace().up("a0", "b0").arrive("s1", 0, 200).pass(300).note("s1", 0.25);
    t.say("projected at six times its estimate: not yet");
    t.arrive("s2", 0, 200)
        .pass(300)
        .note("s2", 0.1)
        .say("fifteen times: sent anew")
        .end("s2", CANCELLED);
    t.matches("plan-unknown");
  }

  @Test
  void enginesThatARequestClassIsBoundToAreLeftToIt() {
    Trace t =
        new Trace().requestClass("repeatable", "models_allowed", List.of(0)).up("a0", "b0", "big0");
    t.arrive("r1", 1, 900).arrive("r2", 1, 900).pass(900).end("r1", SUCCEEDED).end("r2", SUCCEEDED);
    t.say(
        "the bound track takes most of a0 and b0: others count them with the cores that it leaves");
    for (int i = 1; i <= 6; i++) {
      t.arrive("s" + i, 0, 300, i, null);
    }
    t.matches("bound-kind");
  }

  @Test
  void badPlanIsSentAnew() {
    Trace t = new Trace().requestClass("repeatable", "late_worth", 0.3).up("a0", "b0");
    t.arrive("fine", 1, 400).arrive("bad", 1, 400).pass(300).note("fine", 0.7).note("bad", 0.02);
    t.end("bad", CANCELLED).matches("bad-plan");
  }
}
