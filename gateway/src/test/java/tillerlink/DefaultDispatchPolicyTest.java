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
 * Plays a short scenario in each test and compares the policy's actions with a kept trace. The
 * texts passed to {@link PolicyTrace#comment} are part of the kept traces.
 */
class DefaultDispatchPolicyTest {
  @Test
  void engineWithFewestRequestsOfTheClassPerCoreIsChosen() {
    PolicyTrace trace = new PolicyTrace().start("a0", "big0");
    for (int i = 1; i <= 6; i++) {
      trace.arrive("s" + i, 0, 100, i, null);
    }
    trace.assertMatches("fewest");
  }

  @Test
  void cachedTableGroupBreaksTies() {
    PolicyTrace trace = new PolicyTrace().requestClass("repeatable").start("a0", "b0", "c0");
    trace.arrive("first", 0, 100, 9, null).advance(100).end("first", SUCCEEDED);
    trace
        .comment("idle again: the engine with the cached table group is chosen")
        .arrive("second", 0, 100, 9, null);
    trace.advance(100).end("second", SUCCEEDED);
    trace
        .comment("busy with another class: the cached table group no longer decides")
        .arrive("other", 1, 100, 9, null)
        .arrive("third", 0, 100, 9, null);
    trace.assertMatches("warm");
  }

  @Test
  void queueIsFirstInFirstOutUnderOverload() {
    PolicyTrace trace = new PolicyTrace().set("instances", 8L).start("a0", "b0");
    trace
        .arrive("s1", 0, 300)
        .arrive("s2", 0, 300)
        .end("s1", REJECTED)
        .comment("overload: one or two threads per engine");
    trace.arrive("s3", 0, 300).arrive("s4", 0, 300).arrive("s5", 0, 300).arrive("s6", 0, 300);
    trace
        .advance(300)
        .end("s2", SUCCEEDED)
        .advance(20)
        .end("s1", SUCCEEDED)
        .advance(20)
        .end("s3", SUCCEEDED);
    trace.advance(1500).assertMatches("fifo");
  }

  @Test
  void overloadOfOneEngineLimitsAllEngines() {
    PolicyTrace trace = new PolicyTrace().set("instances", 8L).start("a0", "b0", "c0");
    trace
        .arrive("s1", 0, 300)
        .end("s1", REJECTED)
        .comment("one engine was full: the limit applies to the others as well");
    for (int i = 2; i <= 8; i++) {
      trace.arrive("s" + i, 0, 300);
    }
    trace.assertMatches("bounds-all");
  }

  /**
   * Guards against queueing or rejecting requests of a gateway that has several times the traffic
   * of the others, only because its threads exceed its share of the fleet. The limit on their sum
   * applies at a pace far above the best, not at an easy pace.
   */
  @Test
  void gatewayMayExceedItsShareAtAnEasyPace() {
    PolicyTrace trace = new PolicyTrace().set("instances", 8L).start("a0", "b0");
    for (int i = 1; i <= 12; i++) {
      trace.arrive("k" + i, 0, 100, i, null).advance(100).end("k" + i, SUCCEEDED);
    }
    trace.comment("an easy pace: eight attempts in flight, with a share of two threads");
    for (int i = 1; i <= 8; i++) {
      trace.arrive("s" + i, 0, 100, i, null);
    }
    trace.advance(190);
    for (int i = 1; i <= 8; i++) {
      trace.end("s" + i, SUCCEEDED).arrive("t" + i, 0, 100, i, null);
    }
    trace.advance(190);
    for (int i = 1; i <= 8; i++) {
      trace.end("t" + i, SUCCEEDED);
    }
    trace.comment(
        "all took nearly twice as long, on no engine far too long: now their sum is limited");
    for (int i = 1; i <= 8; i++) {
      trace.arrive("u" + i, 0, 100, i, null);
    }
    trace.assertMatches("easy-pace");
  }

  @Test
  void busyEngineComesLastWhenAShareIsLessThanARequest() {
    PolicyTrace trace =
        new PolicyTrace()
            .set(
                "instances",
                10L,
                "family_info.width_by_class",
                List.of(1, 3),
                "report.fields",
                List.of("cpu_share"))
            .requestClass("repeatable");
    trace.start("a0", "b0", "c0").arrive("s1", 0, 300).advance(300).end("s1", SUCCEEDED, 1);
    trace
        .comment("one engine of three is busy: a heavy and two light requests share the other two")
        .arrive("r1", 1, 900)
        .arrive("s2", 0, 300)
        .arrive("s3", 0, 300);
    trace
        .comment("the busy engine comes last, for the single request that is always allowed")
        .arrive("s4", 0, 300)
        .arrive("s5", 0, 300)
        .assertMatches("jammed-last");
  }

  @Test
  void outliersAmongAQuarterOfTheEnginesLimitTheRest() {
    PolicyTrace trace = new PolicyTrace().set("instances", 8L).start("a0", "b0", "c1", "d1");
    trace
        .arrive("s1", 0, 300)
        .end("s1", CONNECT_FAILED)
        .comment("one engine of four is an outlier: the others take one thread each");
    for (int i = 2; i <= 6; i++) {
      trace.arrive("s" + i, 0, 300, i, null);
    }
    trace.assertMatches("doubt-bounds");
  }

  @Test
  void newlyStartedGatewayDoesNotFloodTheFewEnginesItKnows() {
    PolicyTrace trace = new PolicyTrace().set("family_info.width_by_class", List.of(5)).start("a0");
    for (int i = 1; i <= 5; i++) {
      trace.arrive("s" + i, 0, 300, i, null);
    }
    trace
        .comment(
            "10 threads exceed one and a half times this gateway's share and one request of each"
                + " class")
        .assertMatches("flood");
  }

  @Test
  void effectfulRequestNeverRunsTwice() {
    PolicyTrace trace = new PolicyTrace().requestClass("once").start("a0", "b0");
    trace
        .arrive("unseen", 1, 100)
        .end("unseen", CONNECT_FAILED)
        .advance(50)
        .end("unseen", CONNECTION_LOST);
    trace.arrive("erred", 1, 100).end("erred", FAILED);
    trace.arrive("silent", 1, 100).advance(6000).end("silent", TIMED_OUT);
    trace.assertMatches("effectful");
  }

  @Test
  void idempotentRequestIsRetriedInItsDeduplicationZoneAndWindow() {
    PolicyTrace trace =
        new PolicyTrace()
            .requestClass("by_key", "group", "zone", "window", 3000L)
            .start("a0", "b0", "c1", "d1");
    trace
        .arrive("r1", 1, 100)
        .end("r1", CONNECTION_LOST)
        .end("r1", CONNECTION_LOST)
        .advance(350)
        .comment("the deduplication window of 300 ms has passed");
    trace.end("r1", CONNECTION_LOST).assertMatches("receipted");
  }

  @Test
  void drainingEngineGetsNoNewAttempts() {
    PolicyTrace trace = new PolicyTrace().start("a0", "b0").endpointChanged("b0", DRAINING, 0);
    trace
        .arrive("s1", 0, 100)
        .arrive("s2", 0, 100)
        .endpointChanged("a0", GONE, 0)
        .arrive("s3", 0, 100);
    trace.endpointChanged("c0", READY, 0).advance(10).assertMatches("drain");
  }

  @Test
  void warmingEngineGetsOnlyItsShare() {
    PolicyTrace trace =
        new PolicyTrace().start("a0").advance(5000).endpointChanged("b0", READY, 1000);
    trace.comment(
        "b0 started a second ago: 8 cores x 0.3 x 2.5 x 1.5 s / 2 gateways, a third of it used");
    for (int i = 1; i <= 8; i++) {
      trace.arrive("s" + i, 0, 400, i, null);
    }
    trace.assertMatches("cold");
  }

  /**
   * Guards against a warming engine that stays idle because the quota of each of many gateways is
   * less than one attempt. With slow-start slots the gateways together send exactly as many
   * attempts in a period as the engine may have. Without slots no gateway would use it until it is
   * warm; with random draws the number would vary.
   */
  @Test
  void gatewaysTakeSlowStartSlotsInTurn() {
    for (long uptimeMs : new long[] {1500, 1717, 2500, 4000}) {
      long sent = 0;
      for (long index = 0; index < 200; index++) {
        PolicyTrace trace =
            new PolicyTrace()
                .set("instances", 200L, "me", index)
                .start()
                .advance(5000)
                .endpointChanged("b0", READY, uptimeMs);
        sent += trace.arrive("s1", 0, 100).attemptsSent();
      }
      // 8 cores x 2.5 x 1.5 s is 30 s of work, times the warm capacity. The policy uses 0.35 of
      // that, in attempts of 0.1 s.
      double allowed = 300 * 0.35 * (0.3 + 0.7 * uptimeMs * uptimeMs / 1e8);
      assertTrue(
          Math.abs(sent - allowed) <= 2,
          sent + " attempts, expected " + allowed + ", " + uptimeMs + " ms after the start");
    }
  }

  /**
   * Guards gateways without a configured index, which is derived from the random seed instead:
   * their slots are spread like random draws.
   */
  @Test
  void slowStartSlotsWithoutAGatewayIndexAreSpreadLikeRandomDraws() {
    for (long seed : new long[] {1, 2, 3}) {
      Random seeds = new Random(seed);
      long sent = 0;
      for (int i = 0; i < 200; i++) {
        PolicyTrace trace =
            new PolicyTrace()
                .set("instances", 200L)
                .seed(seeds.nextLong())
                .start()
                .advance(5000)
                .endpointChanged("b0", READY, 1500);
        sent += trace.arrive("s1", 0, 100).attemptsSent();
      }
      // 32 as above, plus or minus about twice its square root.
      assertTrue(sent >= 20 && sent <= 44, sent + " attempts with seed " + seed);
    }
  }

  /**
   * Guards against overloading an engine that has just started, of which other gateways may not
   * have been notified and may still send it more. In the first period the permitted sum grows from
   * zero.
   */
  @Test
  void warmingEngineGetsLittleInItsFirstPeriod() {
    long sent = 0;
    for (long index = 0; index < 200; index++) {
      PolicyTrace trace =
          new PolicyTrace()
              .set("instances", 200L, "me", index)
              .start()
              .advance(5000)
              .endpointChanged("b0", READY, 150);
      sent += trace.arrive("s1", 0, 100).attemptsSent();
    }
    assertTrue(
        sent >= 2 && sent <= 5,
        sent + " attempts, expected 2 to 5 a tenth of a period after the start");
  }

  /**
   * Guards against losing a slow-start slot: among engines with equally few attempts, the warming
   * engine for which this gateway has the slot must be chosen first.
   */
  @Test
  void warmingEngineWithASlowStartSlotComesFirst() {
    long sent = 0;
    for (long index = 0; index < 200; index++) {
      PolicyTrace trace =
          new PolicyTrace()
              .set("instances", 200L, "me", index)
              .start("a0", "b0", "c0", "d0")
              .advance(5000);
      sent += trace.endpointChanged("x0", READY, 1500).arrive("s1", 0, 100).attemptsSentTo("x0");
    }
    assertTrue(sent >= 30 && sent <= 34, sent + " attempts, expected 30 to 34");
  }

  @Test
  void restartedGatewayAvoidsWarmingEnginesAtFirst() {
    PolicyTrace trace = new PolicyTrace().start().endpointChanged("a0", READY, 1000);
    trace
        .arrive("s1", 0, 100)
        .advance(1600)
        .comment("the slow-start period of 1.5 s has passed")
        .arrive("s2", 0, 100)
        .assertMatches("cold-restart");
  }

  @Test
  void requestsOfAKeyRunInOrderWithACooldownAfterAnUncertainEnd() {
    PolicyTrace trace =
        new PolicyTrace()
            .requestClass("repeatable", "keep_order", true)
            .set("guarantees.settle_after_doubt", 3000L);
    trace
        .start("a0", "b0")
        .arrive("k1", 1, 100, 1, "x")
        .arrive("k2", 1, 100, 1, "x")
        .arrive("other", 1, 100, 1, "y");
    trace
        .advance(100)
        .end("k1", SUCCEEDED)
        .advance(100)
        .end("k2", CONNECTION_LOST)
        .advance(50)
        .end("k2", SUCCEEDED)
        .arrive("k3", 1, 100, 1, "x")
        .advance(400)
        .assertMatches("order");
  }

  @Test
  void placementRulesApplyWhenAllAllowedEnginesAreDown() {
    PolicyTrace trace =
        new PolicyTrace().requestClass("repeatable", "zones_open", List.of(1)).start("a0", "b1");
    trace
        .arrive("s1", 1, 100)
        .end("s1", CONNECT_FAILED)
        .advance(100)
        .endpointChanged("b1", GONE, 0)
        .arrive("s2", 1, 100);
    trace.advance(2000).assertMatches("placement");
  }

  @Test
  void retriesStayWithinTheBudget() {
    PolicyTrace trace =
        new PolicyTrace()
            .set(
                "guarantees.budget_span",
                50000L,
                "guarantees.extra_floor",
                1.0,
                "guarantees.further_ratio",
                0.0)
            .start("a0", "b0");
    trace.arrive("s1", 0, 100).end("s1", FAILED).arrive("s2", 0, 100).end("s2", FAILED);
    trace
        .advance(6000)
        .comment("the period of the retry budget has passed")
        .end("s1", SUCCEEDED)
        .arrive("s3", 0, 100)
        .end("s3", FAILED);
    trace.assertMatches("budget");
  }

  @Test
  void endpointListIsWatchedAgainAfterAFailure() {
    new PolicyTrace()
        .set("discovery", "ask", "guarantees.ask_within", 100000L)
        .start("a0")
        .endpointPollFails()
        .advance(3000)
        .assertMatches("ask");
  }

  @Test
  void silentEngineLosesItsAttemptAndIsCheckedLater() {
    PolicyTrace trace = new PolicyTrace().start("a0", "b0");
    trace
        .arrive("s1", 0, 100, 1, null)
        .arrive("s2", 0, 100, 2, null)
        .advance(100)
        .end("s2", SUCCEEDED);
    trace.advance(500).comment("s1 is cancelled and sent again").end("s1", CANCELLED);
    for (int i = 3; i <= 6; i++) {
      trace.arrive("s" + i, 0, 100, i, null);
    }
    trace
        .advance(9000)
        .comment("an outlier is not excluded permanently")
        .arrive("s7", 0, 100, 7, null)
        .arrive("s8", 0, 100, 8, null);
    trace.assertMatches("silent");
  }

  @Test
  void crashedEngineCountsAsWarmingWhenItReturns() {
    PolicyTrace trace = new PolicyTrace().start("a0").advance(5000);
    trace
        .arrive("s0", 0, 100, 1, null)
        .arrive("s1", 0, 100, 1, null)
        .endpointChanged("b0", READY, 0)
        .end("s0", CONNECTION_LOST)
        .end("s1", CONNECTION_LOST);
    trace.advance(100).end("s0", SUCCEEDED).end("s1", SUCCEEDED).advance(7000);
    trace.comment(
        "no outlier any more, but perhaps cold: quota for 3 s of work once, then for 100 ms");
    for (int i = 2; i <= 5; i++) {
      trace.arrive("big" + i, 0, 3000, i, null);
    }
    trace.arrive("small", 0, 100, 6, null).assertMatches("crashed");
  }

  /** Guards against treating a connection that the network dropped as a crashed process. */
  @Test
  void singleLostConnectionIsNotACrash() {
    PolicyTrace trace =
        new PolicyTrace()
            .start("a0")
            .advance(5000)
            .arrive("s1", 0, 100, 1, null)
            .arrive("s2", 0, 100, 1, null);
    trace
        .endpointChanged("b0", READY, 0)
        .end("s1", CONNECTION_LOST)
        .end("s2", SUCCEEDED)
        .end("s1", SUCCEEDED)
        .advance(7000);
    for (int i = 3; i <= 6; i++) {
      trace.arrive("big" + i, 0, 2000, i, null);
    }
    trace.comment("both are warm: 2 s of work goes to either engine").assertMatches("dropped");
  }

  /**
   * Guards against an engine that fails every attempt at once and therefore attracts the requests
   * that the others cannot accept, one health check after another.
   */
  @Test
  void failedHealthCheckConfirmsTheOutlier() {
    PolicyTrace trace = new PolicyTrace().start("a0", "b0");
    for (int i = 1; i <= 16; i++) {
      trace.arrive("s" + i, 0, 100, i, null).advance(10).end("s" + i, SUCCEEDED);
    }
    trace.comment("from now on every attempt on a0 fails at once");
    for (int i = 17; i <= 40; i++) {
      trace.arrive("t" + i, 0, 100, i, null).advance(10).endAll("t" + i, "a0");
    }
    trace.assertMatches("trials");
  }

  /**
   * Guards against a request that no engine can serve: it must neither turn the engines into
   * outliers nor use up the retry budget.
   */
  @Test
  void requestThatFailsOnTwoEnginesIsNotRetried() {
    PolicyTrace trace = new PolicyTrace().start("a0", "b0", "c0");
    for (int i = 1; i <= 3; i++) {
      trace.arrive("bad" + i, 0, 100, i, null).end("bad" + i, FAILED).end("bad" + i, FAILED);
    }
    trace
        .comment("no engine is an outlier")
        .arrive("s1", 0, 100, 1, null)
        .arrive("s2", 0, 100, 2, null)
        .arrive("s3", 0, 100, 3, null);
    trace.assertMatches("unusable");
  }

  /**
   * Guards against a false overload while the pace is still unknown: attempts that exceed their
   * estimates may only show that the estimates are too low.
   */
  @Test
  void latencyObjectiveDetectsAStallBeforeThePaceIsKnown() {
    PolicyTrace trace =
        new PolicyTrace()
            .start("a0", "b0")
            .arrive("s1", 0, 30, 1, null)
            .arrive("s2", 0, 30, 2, null);
    trace.advance(200).comment("in flight for six times the estimate: not overloaded yet");
    for (int i = 3; i <= 12; i++) {
      trace.arrive("s" + i, 0, 30, i, null);
    }
    trace.assertMatches("unknown-pace");
  }

  @Test
  void timedOutWorkCountsWhereItCannotBeCancelled() {
    PolicyTrace trace =
        new PolicyTrace()
            .set(
                "instances",
                8L,
                "caps.may_cancel",
                false,
                "family_info.width_by_class",
                List.of(2));
    trace.start("a0").arrive("s1", 0, 300);
    for (int i = 0; i < 15; i++) {
      trace.advance(200).reportProgress("s1", 0.1);
    }
    trace
        .end("s1", TIMED_OUT)
        .comment("a0 is slow, and s1 still runs there: no further attempt for now");
    trace.arrive("s2", 0, 100).advance(2000).assertMatches("lost-threads");
  }

  @Test
  void engineIsUsedAgainAfterANetworkInterruption() {
    PolicyTrace trace =
        new PolicyTrace().set("instances", 8L, "caps.may_cancel", false).start("a0", "b0");
    trace
        .arrive("s1", 0, 300, 1, null)
        .arrive("s2", 0, 300, 2, null)
        .advance(5000)
        .end("s1", TIMED_OUT);
    trace
        .end("s2", TIMED_OUT)
        .comment("no response arrived: attempts that timed out do not count as running there");
    trace
        .arrive("s3", 0, 100, 3, null)
        .advance(100)
        .end("s3", SUCCEEDED)
        .arrive("s4", 0, 100, 4, null)
        .arrive("s5", 0, 100, 5, null)
        .assertMatches("cut");
  }

  @Test
  void stallWithoutResponsesIsDetectedByTheAgeOfAttempts() {
    PolicyTrace trace =
        new PolicyTrace()
            .set("instances", 8L)
            .requestClass("repeatable", "late_worth", 0.3)
            .start("a0", "b0");
    for (int i = 1; i <= 8; i++) {
      trace.arrive("k" + i, 1, 100, i, null).advance(100).end("k" + i, SUCCEEDED);
    }
    trace
        .arrive("s1", 1, 100, 1, null)
        .arrive("s2", 1, 100, 2, null)
        .advance(350)
        .comment("both have been in flight for three times too long");
    trace
        .arrive("s3", 1, 100, 3, null)
        .arrive("s4", 1, 100, 4, null)
        .advance(3000)
        .assertMatches("stall");
  }

  @Test
  void underestimatedAttemptIsNotSilentWhereProgressIsReported() {
    PolicyTrace trace =
        new PolicyTrace()
            .set("family_info.tells_every", 20000L)
            .start("a0", "b0")
            .arrive("s1", 0, 80)
            .advance(900);
    trace
        .comment("ten times its estimate, but a progress message is not due before 2 s")
        .end("s1", SUCCEEDED);
    trace.assertMatches("notes-due");
  }

  @Test
  void overloadedGatewaySendsNoRequestThatCannotEndBeforeItsDeadline() {
    PolicyTrace trace =
        new PolicyTrace()
            .set("instances", 8L)
            .start("a0", "b0")
            .arrive("s1", 0, 300)
            .end("s1", REJECTED);
    trace
        .comment("overload: of two clients that wait 400 ms, one has a request that takes longer")
        .clientTimeout(400);
    trace
        .arrive("s2", 0, 500)
        .arrive("s3", 0, 100)
        .advance(50)
        .end("s1", SUCCEEDED)
        .assertMatches("little-time");
  }

  @Test
  void engineWithoutRecentReportsDoesNotCountAsIdle() {
    PolicyTrace trace =
        new PolicyTrace().set("report.fields", List.of("cpu_share")).start("a0", "b0");
    trace.arrive("s1", 0, 100, 1, null).arrive("s2", 0, 100, 2, null).end("s1", SUCCEEDED, 0.9);
    trace
        .end("s2", SUCCEEDED, 0.4)
        .comment("one engine reported 90% utilization, the other 40%; only the other reports again")
        .advance(900);
    for (int i = 3; i <= 7; i++) {
      trace.arrive("s" + i, 0, 100, i, null).advance(100).end("s" + i, SUCCEEDED, 0.4);
    }
    trace.assertMatches("unheard");
  }

  @Test
  void outcomesAreProcessedFirstAfterAPauseAndLateRequestsAreAnsweredOnce() {
    PolicyTrace trace =
        new PolicyTrace()
            .start("a0", "b0")
            .arrive("s1", 0, 100, 1, null)
            .arrive("s2", 0, 100, 2, null)
            .pauseGateway(900);
    trace
        .comment("paused for 900 ms: the end of s1 counts before the age of attempts is checked")
        .end("s1", SUCCEEDED);
    trace
        .arrive("s3", 0, 100, 3, null)
        .pauseGateway(1600)
        .arrive("s4", 0, 100, 4, null)
        .advance(100)
        .assertMatches("stood-still");
  }

  @Test
  void badPlanOfARequestClassWithoutMeasurementsNeedsALargerMargin() {
    PolicyTrace trace =
        new PolicyTrace()
            .start("a0", "b0")
            .arrive("s1", 0, 200)
            .advance(300)
            .reportProgress("s1", 0.25);
    trace.comment("projected at six times its estimate: not cancelled yet");
    trace
        .arrive("s2", 0, 200)
        .advance(300)
        .reportProgress("s2", 0.1)
        .comment("fifteen times: cancelled and sent again")
        .end("s2", CANCELLED);
    trace.assertMatches("plan-unknown");
  }

  @Test
  void enginesOfARestrictedRequestClassAreAvoidedByOthers() {
    PolicyTrace trace =
        new PolicyTrace()
            .requestClass("repeatable", "models_allowed", List.of(0))
            .start("a0", "b0", "big0");
    trace
        .arrive("r1", 1, 900)
        .arrive("r2", 1, 900)
        .advance(900)
        .end("r1", SUCCEEDED)
        .end("r2", SUCCEEDED);
    trace.comment(
        "the restricted class takes most of a0 and b0: others count only the cores that it leaves");
    for (int i = 1; i <= 6; i++) {
      trace.arrive("s" + i, 0, 300, i, null);
    }
    trace.assertMatches("bound-kind");
  }

  @Test
  void attemptWithABadPlanIsSentAgain() {
    PolicyTrace trace =
        new PolicyTrace().requestClass("repeatable", "late_worth", 0.3).start("a0", "b0");
    trace
        .arrive("fine", 1, 400)
        .arrive("bad", 1, 400)
        .advance(300)
        .reportProgress("fine", 0.7)
        .reportProgress("bad", 0.02);
    trace.end("bad", CANCELLED).assertMatches("bad-plan");
  }
}
