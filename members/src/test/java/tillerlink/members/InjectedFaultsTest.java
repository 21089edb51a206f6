package tillerlink.members;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import org.junit.jupiter.api.Test;
import tillerlink.cluster.Invariant;
import tillerlink.cluster.Reachability;
import tillerlink.members.config.MembershipConfig;
import tillerlink.members.gossip.GossipQueue;
import tillerlink.members.local.LocalMember;
import tillerlink.members.state.FaultyMemberTable;
import tillerlink.members.state.MemberTable;
import tillerlink.messages.members.GossipUpdate;
import tillerlink.messages.members.MemberStatus;
import tillerlink.simulation.Fault;

/**
 * Injects faults into members and checks how each fault is detected: by an invariant in the code,
 * or by the observed behaviour of the fleet.
 */
class InjectedFaultsTest {
  private static final int HISTORIES = 40;
  private static final String UNDETECTED = "not detected";

  private static ComponentFactories withTable(FaultyMemberTable.InjectedFault fault) {
    return new ComponentFactories() {
      @Override
      MemberTable memberTable(
          String self, MembershipConfig config, MemberTable.ChangeListener listener) {
        return new FaultyMemberTable(self, config, listener, fault);
      }
    };
  }

  private static ComponentFactories withLocalMember(
      BiFunction<Identity, Long, LocalMember> factory) {
    return new ComponentFactories() {
      @Override
      LocalMember localMember(Identity identity, long birth) {
        return factory.apply(identity, birth);
      }
    };
  }

  /** A correct local member, of which the faulty ones override single methods. */
  private abstract static class FaultyLocalMember extends LocalMember {
    FaultyLocalMember(Identity identity, long birth) {
      super(identity.persistedIncarnation(), birth, identity.address(), identity.site());
    }
  }

  private static final ComponentFactories NEVER_REFUTES =
      withLocalMember(
          (identity, birth) ->
              new FaultyLocalMember(identity, birth) {
                @Override
                public Reaction onClaim(
                    MemberStatus status, long incarnation, long claimedBirth, String address) {
                  return claimedBirth == card().birth()
                      ? Reaction.NONE
                      : super.onClaim(status, incarnation, claimedBirth, address);
                }
              });

  private static final ComponentFactories NEVER_YIELDS =
      withLocalMember(
          (identity, birth) ->
              new FaultyLocalMember(identity, birth) {
                @Override
                public Reaction onRivalAlive(long rivalBirth) {
                  raiseIncarnation(0);
                  return Reaction.REFUTED;
                }
              });

  private static final ComponentFactories LOWERS_INCARNATION =
      withLocalMember(
          (identity, birth) ->
              new FaultyLocalMember(identity, birth) {
                @Override
                public void raiseIncarnation(long above) {
                  super.raiseIncarnation(above == 0 ? -5 : Long.MAX_VALUE);
                }
              });

  private static final ComponentFactories RETRANSMITS_FOREVER =
      new ComponentFactories() {
        @Override
        GossipQueue gossipQueue(int maxSize) {
          return new GossipQueue(maxSize) {
            @Override
            public List<GossipUpdate> take(
                int maxBytes,
                int maxTransmissions,
                BiFunction<String, String, GossipUpdate> lookup) {
              return super.take(maxBytes, Integer.MAX_VALUE, lookup);
            }
          };
        }
      };

  /**
   * Runs several histories, and then a fixed scenario, of members that all have the same fault.
   *
   * @return what detected the fault first
   */
  private static String detect(ComponentFactories factories, MembershipConfig config) {
    for (long seed = 0; seed < HISTORIES; seed++) {
      String detected = runHistory(new RandomHistory(seed, config, factories));
      if (!detected.equals(UNDETECTED)) {
        return detected;
      }
    }
    return runScenario(factories, config);
  }

  private static String runHistory(RandomHistory history) {
    MemberFleet fleet = history.fleet;
    try {
      history.run();
      if (fleet.runUntilConverged(RandomHistoriesTest.MAX_CONVERGENCE_TIME) < 0) {
        return hasDuplicateName(fleet) ? "two members with one name" : "no convergence";
      }
      fleet.network.playFor(20 * MemberFleet.SECOND);
      if (fleet.running.values().stream().anyMatch(InjectedFaultsTest::stillGossips)) {
        return "gossip after convergence";
      }
    } catch (Invariant.Broken e) {
      return e.getMessage()
          .replaceAll("m\\d", "one")
          .replaceAll("(from|incarnation:|decreases to) .*", "$1");
    }
    return UNDETECTED;
  }

  private static boolean hasDuplicateName(MemberFleet fleet) {
    return fleet.persistedIncarnations.keySet().stream()
        .anyMatch(name -> fleet.processesKeeping(name) > 1);
  }

  private static boolean stillGossips(MemberFleet.MemberProcess process) {
    Members members = process.members;
    return !members.stopped() && members.size() > 1 && members.counts().queuedUpdates() > 0;
  }

  /**
   * Runs a scenario with lost messages, then a partition that heals, then a member that is paused
   * while another one dies. No live member may be declared failed because of lost messages, or be
   * suspected after the partition healed, and the dead member must not return.
   *
   * @return what detected the fault
   */
  private static String runScenario(ComponentFactories factories, MembershipConfig config) {
    MemberFleet fleet = new MemberFleet(4, config, factories);
    fleet.startAll("a", "b", "c", "d", "e", "f");
    fleet.runUntilConverged(20 * MemberFleet.SECOND);
    fleet.network.setDefaultFault(Fault.lossy(0.3));
    fleet.changes.clear();
    fleet.network.playFor(300 * MemberFleet.SECOND);
    if (hasChangeTo(fleet, Reachability.GONE)) {
      return "live member declared failed because of lost messages";
    }
    fleet.network.setDefaultFault(Fault.NONE);
    fleet.cut(List.of("a", "b", "c"), List.of("d", "e", "f"));
    fleet.network.playFor(30 * MemberFleet.SECOND);
    fleet.network.heal();
    fleet.changes.clear();
    fleet.runUntilConverged(60 * MemberFleet.SECOND);
    if (hasChangeTo(fleet, Reachability.SUSPECTED) || hasChangeTo(fleet, Reachability.GONE)) {
      return "live member suspected after a partition healed";
    }
    // The paused member still considers the dead member alive, and gossips that.
    fleet.network.pause(MemberFleet.address("a"));
    fleet.kill("f");
    fleet.network.playFor(30 * MemberFleet.SECOND);
    fleet.changes.clear();
    fleet.network.resume(MemberFleet.address("a"));
    fleet.network.playFor(60 * MemberFleet.SECOND);
    boolean returned =
        fleet.changes.stream()
            .anyMatch(
                change ->
                    change.member().equals("f") && change.current() == Reachability.REACHABLE);
    return returned ? "dead member returned" : UNDETECTED;
  }

  private static boolean hasChangeTo(MemberFleet fleet, Reachability reachability) {
    return fleet.changes.stream().anyMatch(change -> change.current() == reachability);
  }

  private static MembershipConfig config(
      int suspicionMultiplier, long reconnectInterval, long antiEntropyInterval) {
    MembershipConfig usual = MembershipConfig.usual();
    return new MembershipConfig(
        usual.probeInterval(),
        usual.probeTimeout(),
        usual.maxProbeTimeout(),
        usual.indirectProbes(),
        suspicionMultiplier,
        suspicionMultiplier == 1 ? 1 : usual.maxSuspicionMultiplier(),
        usual.confirmations(),
        usual.gossipInterval(),
        usual.gossipFanout(),
        usual.retransmitMultiplier(),
        reconnectInterval,
        antiEntropyInterval,
        usual.maxUpdateAge(),
        usual.forgetAfter(),
        usual.maxLocalHealthScore(),
        usual.maxMembers());
  }

  /**
   * The detection of each fault. A fault that the rest of the protocol compensates is listed as not
   * detected.
   */
  private static final String EXPECTED =
      """
      no fault: not detected
      ACCEPTS_LOWER_INCARNATION: invariant broken: one: incarnation decreases from
      REVIVES_AT_SAME_INCARNATION: invariant broken: one rejoined without a higher incarnation:
      SUSPECTS_WITHOUT_PROBE: live member suspected after a partition healed
      FORGETS_FAILED_AT_ONCE: dead member returned
      never refutes: no convergence
      never yields its name: two members with one name
      lowers its incarnation: invariant broken: local incarnation decreases to
      retransmits forever: gossip after convergence
      suspicion of half a second: live member declared failed because of lost messages
      never probes failed members: no convergence
      no periodic anti-entropy: not detected
      """;

  @Test
  void everyInjectedFaultIsDetectedAsExpected() {
    MembershipConfig usual = MembershipConfig.usual();
    long reconnect = usual.reconnectInterval();
    long antiEntropy = usual.antiEntropyInterval();
    long never = Long.MAX_VALUE / 4;
    ComponentFactories faultless = new ComponentFactories();
    List<String> detections = new ArrayList<>();
    detections.add("no fault: " + detect(faultless, usual));
    for (FaultyMemberTable.InjectedFault fault : FaultyMemberTable.InjectedFault.values()) {
      detections.add(fault + ": " + detect(withTable(fault), usual));
    }
    detections.add("never refutes: " + detect(NEVER_REFUTES, usual));
    detections.add("never yields its name: " + detect(NEVER_YIELDS, usual));
    detections.add("lowers its incarnation: " + detect(LOWERS_INCARNATION, usual));
    detections.add("retransmits forever: " + detect(RETRANSMITS_FOREVER, usual));
    detections.add(
        "suspicion of half a second: " + detect(faultless, config(1, reconnect, antiEntropy)));
    detections.add(
        "never probes failed members: " + detect(faultless, config(5, never, antiEntropy)));
    detections.add("no periodic anti-entropy: " + detect(faultless, config(5, reconnect, never)));
    assertEquals(EXPECTED, String.join("\n", detections) + "\n");
  }
}
