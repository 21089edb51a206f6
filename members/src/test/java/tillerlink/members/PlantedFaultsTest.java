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
 * Faults planted in members: what catches each, an invariant inside the code or the look from
 * outside.
 */
class PlantedFaultsTest {
  private static final int HISTORIES = 40;

  private static ComponentFactories table(FaultyMemberTable.What what) {
    return new ComponentFactories() {
      @Override
      MemberTable table(String self, MembershipConfig periods, MemberTable.Changes changes) {
        return new FaultyMemberTable(self, periods, changes, what);
      }
    };
  }

  private static ComponentFactories own(BiFunction<Identity, Long, LocalMember> make) {
    return new ComponentFactories() {
      @Override
      LocalMember own(Identity identity, long birth) {
        return make.apply(identity, birth);
      }
    };
  }

  private static final ComponentFactories NEVER_REFUTES =
      own(
          (identity, birth) ->
              new LocalMember(identity.before(), birth, identity.address(), identity.site()) {
                @Override
                public Answer told(
                    MemberStatus standing, long incarnation, long other, String address) {
                  return other == card().birth()
                      ? Answer.NOTHING
                      : super.told(standing, incarnation, other, address);
                }
              });

  private static final ComponentFactories NEVER_YIELDS =
      own(
          (identity, birth) ->
              new LocalMember(identity.before(), birth, identity.address(), identity.site()) {
                @Override
                public Answer lives(long other) {
                  raise(0);
                  return Answer.RAISED;
                }
              });

  private static final ComponentFactories FALLS =
      own(
          (identity, birth) ->
              new LocalMember(identity.before(), birth, identity.address(), identity.site()) {
                @Override
                public void raise(long above) {
                  super.raise(above == 0 ? -5 : Long.MAX_VALUE);
                }
              });

  private static final ComponentFactories TELLS_FOR_EVER =
      new ComponentFactories() {
        @Override
        GossipQueue updates(int most) {
          return new GossipQueue(most) {
            @Override
            public List<GossipUpdate> take(
                int room, int sendsMost, BiFunction<String, String, GossipUpdate> look) {
              return super.take(room, Integer.MAX_VALUE, look);
            }
          };
        }
      };

  /** Plays a few histories with the fault in all; what caught it first. */
  private static String caught(ComponentFactories makers, MembershipConfig periods) {
    for (long seed = 0; seed < HISTORIES; seed++) {
      HistoriesTest.History history = new HistoriesTest.History(seed, periods, makers);
      try {
        history.run();
        if (history.play.untilAgreed(60 * Play.SECOND) < 0) {
          return twice(history.play)
              ? "two take part under one name"
              : "they do not agree once it is calm";
        }
        history.play.fleet.playFor(20 * Play.SECOND);
        if (history.play.up.values().stream()
            .anyMatch(
                one ->
                    !one.members.stopped()
                        && one.members.size() > 1
                        && one.members.counts().updates() > 0)) {
          return "news are still told once it is calm";
        }
      } catch (Invariant.Broken e) {
        return e.getMessage()
            .replaceAll("m\\d", "one")
            .replaceAll("(from|incarnation:|falls to) .*", "$1");
      }
    }
    String calm = calm(makers, periods);
    return calm.isEmpty() ? "not caught" : calm;
  }

  private static boolean twice(Play play) {
    return play.kept.keySet().stream()
        .anyMatch(
            name ->
                play.up.values().stream()
                        .filter(one -> one.name.equals(name) && !one.members.yielded())
                        .count()
                    > 1);
  }

  /**
   * Some messages lost, and a partition that heals: nobody who lives is given up after it, nobody
   * dead comes back.
   */
  private static String calm(ComponentFactories makers, MembershipConfig periods) {
    Play play = new Play(4, periods);
    play.makers = makers;
    play.startAll("a", "b", "c", "d", "e", "f");
    play.untilAgreed(20 * Play.SECOND);
    play.fleet.setDefaultFault(Fault.lossy(0.3));
    play.changes.clear();
    play.fleet.playFor(300 * Play.SECOND);
    if (play.changes.stream().anyMatch(change -> change.is() == Reachability.GONE)) {
      return "a living one is given up for lost messages";
    }
    play.fleet.setDefaultFault(Fault.NONE);
    for (String one : List.of("a", "b", "c")) {
      List.of("d", "e", "f")
          .forEach(other -> play.fleet.between(Play.at(one), Play.at(other), Fault.CUT));
    }
    play.fleet.playFor(30 * Play.SECOND);
    play.fleet.heal();
    play.changes.clear();
    play.untilAgreed(60 * Play.SECOND);
    if (play.changes.stream()
        .anyMatch(
            change -> change.is() == Reachability.SUSPECTED || change.is() == Reachability.GONE)) {
      return "a living one is accused after a partition healed";
    }
    // One that was stopped meanwhile still takes the dead one for alive, and says so.
    play.fleet.pause(Play.at("a"));
    play.kill("f");
    play.fleet.playFor(30 * Play.SECOND);
    play.changes.clear();
    play.fleet.resume(Play.at("a"));
    play.fleet.playFor(60 * Play.SECOND);
    return play.changes.stream()
            .anyMatch(change -> change.of().equals("f") && change.is() == Reachability.REACHABLE)
        ? "a dead one comes back"
        : "";
  }

  private static MembershipConfig with(int suspicion, long retryEvery, long digestEvery) {
    MembershipConfig usual = MembershipConfig.usual();
    return new MembershipConfig(
        usual.probeInterval(),
        usual.probeTimeout(),
        usual.maxProbeTimeout(),
        usual.indirectProbes(),
        suspicion,
        suspicion == 1 ? 1 : usual.maxSuspicionMultiplier(),
        usual.confirmations(),
        usual.gossipInterval(),
        usual.gossipFanout(),
        usual.retransmitMultiplier(),
        retryEvery,
        digestEvery,
        usual.maxUpdateAge(),
        usual.forgetAfter(),
        usual.maxLocalHealthScore(),
        usual.maxMembers());
  }

  /**
   * Those that nothing here catches are listed too: the rest of the machine makes good for them.
   */
  private static final String CAUGHT =
      """
      nothing planted: not caught
      BELIEVES_LOWER: invariant broken: one falls from
      COMES_BACK_AS_IT_WENT: invariant broken: one came back without a higher incarnation:
      GIVEN_UP_ON_HEARSAY: a living one is accused after a partition healed
      FORGETS_AT_ONCE: a dead one comes back
      never refutes: they do not agree once it is calm
      never yields its name: two take part under one name
      own incarnation falls: invariant broken: the own incarnation falls to
      news told for ever: news are still told once it is calm
      suspicion of half a second: a living one is given up for lost messages
      the gone are not tried again: they do not agree once it is calm
      no digests but on meeting: not caught
      """;

  @Test
  void eachIsCaught() {
    MembershipConfig usual = MembershipConfig.usual();
    long never = Long.MAX_VALUE / 4;
    List<String> found = new ArrayList<>();
    found.add("nothing planted: " + caught(new ComponentFactories(), usual));
    for (FaultyMemberTable.What what : FaultyMemberTable.What.values()) {
      found.add(what + ": " + caught(table(what), usual));
    }
    found.add("never refutes: " + caught(NEVER_REFUTES, usual));
    found.add("never yields its name: " + caught(NEVER_YIELDS, usual));
    found.add("own incarnation falls: " + caught(FALLS, usual));
    found.add("news told for ever: " + caught(TELLS_FOR_EVER, usual));
    found.add(
        "suspicion of half a second: "
            + caught(
                new ComponentFactories(),
                with(1, usual.reconnectInterval(), usual.antiEntropyInterval())));
    found.add(
        "the gone are not tried again: "
            + caught(new ComponentFactories(), with(5, never, usual.antiEntropyInterval())));
    found.add(
        "no digests but on meeting: "
            + caught(new ComponentFactories(), with(5, usual.reconnectInterval(), never)));
    assertEquals(CAUGHT, String.join("\n", found) + "\n");
  }
}
