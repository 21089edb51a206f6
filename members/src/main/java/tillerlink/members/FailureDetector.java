package tillerlink.members;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tillerlink.cluster.Reachability;
import tillerlink.members.probe.IndirectProbes;
import tillerlink.members.probe.LocalHealth;
import tillerlink.members.probe.Probe;
import tillerlink.members.probe.ProbeManager;
import tillerlink.members.probe.ProbeRotation;
import tillerlink.members.state.MemberRecord;
import tillerlink.messages.members.GossipUpdate;
import tillerlink.messages.members.MemberMessage;
import tillerlink.messages.members.MemberStatus;
import tillerlink.messages.members.SuspicionLevel;

/** Whom this process asks, and what it makes of silence. */
final class FailureDetector implements ProbeManager.Steps {
  /** Members to be asked out of their turn that wait at once; the others get their turn. */
  static final int VERIFY_MOST = 64;

  private static final int VERIFY_AT_ONCE = 2;

  private final MembershipState core;
  private final List<String> seeds;
  final LocalHealth health;
  final ProbeManager probes;
  final IndirectProbes relays;
  private final ProbeRotation rotation;
  private final Map<String, GossipUpdate> verify = new LinkedHashMap<>();
  private int nextSeed;

  FailureDetector(MembershipState core, List<String> seeds) {
    this.core = core;
    this.seeds = seeds;
    health = new LocalHealth(core.periods.maxLocalHealthScore());
    probes = new ProbeManager(core.periods, health, core.random, this);
    relays = new IndirectProbes(core.random);
    rotation = new ProbeRotation(core.random);
  }

  // ---- whom ----

  void probeNext() {
    for (int i = 0; i < core.table.size() + 1; i++) {
      String name = rotation.next(core.table::talkingNames);
      MemberRecord entry = name == null ? null : core.table.get(name);
      if (name == null) {
        return;
      }
      if (entry != null && entry.status().takesPart() && !probes.underWay(name)) {
        member(entry, entry.suspicion());
        return;
      }
    }
  }

  private void member(MemberRecord entry, SuspicionLevel doubt) {
    probes.start(
        Probe.Kind.MEMBER,
        entry.name(),
        entry.card().address(),
        doubt,
        entry.roundTrip(),
        core.now);
  }

  void newMember(String name) {
    rotation.add(name);
  }

  /** Somebody who is gone, or a seed's address: a partition may have healed. */
  void retry() {
    MemberRecord gone = core.random.nextBoolean() ? core.table.anyGone(core.random) : null;
    if (gone != null) {
      probes.start(
          Probe.Kind.GONE, gone.name(), gone.card().address(), gone.suspicion(), 0, core.now);
    } else if (!seeds.isEmpty()) {
      String seed = seeds.get(nextSeed++ % seeds.size());
      if (!seed.equals(core.own.card().address())) {
        probes.start(Probe.Kind.SEED, "", seed, SuspicionLevel.NONE, 0, core.now);
      }
    } else if (core.table.anyGone(core.random) != null) {
      MemberRecord any = core.table.anyGone(core.random);
      probes.start(Probe.Kind.GONE, any.name(), any.card().address(), any.suspicion(), 0, core.now);
    }
  }

  void rival(String address) {
    probes.start(Probe.Kind.RIVAL, core.self, address, SuspicionLevel.NONE, 0, core.now);
  }

  /** What was told of it is not believed, or may be wrong: it is asked itself soon. */
  void verify(GossipUpdate update) {
    if (verify.size() < VERIFY_MOST) {
      verify.put(update.name(), update);
    }
  }

  boolean hasToVerify() {
    return !verify.isEmpty();
  }

  void verifySome() {
    for (int i = 0; i < VERIFY_AT_ONCE && !verify.isEmpty(); i++) {
      GossipUpdate update = verify.remove(verify.keySet().iterator().next());
      SuspicionLevel doubt =
          update.status() == MemberStatus.ALIVE
              ? SuspicionLevel.NONE
              : new SuspicionLevel(
                  update.status(), update.card().incarnation(), update.card().birth());
      MemberRecord entry = core.table.get(update.name());
      if (probes.underWay(update.name())) {
        continue;
      }
      if (entry != null && entry.status().takesPart()) {
        member(entry, doubt.isPresent() ? doubt : entry.suspicion());
      } else {
        probes.start(
            Probe.Kind.HEARSAY,
            update.name(),
            update.card().address(),
            entry == null ? doubt : entry.suspicion(),
            0,
            core.now);
      }
    }
  }

  // ---- steps ----

  @Override
  public void ask(Probe about, boolean bare) {
    core.send(
        about.address(),
        new MemberMessage.Probe(
            core.own.card(),
            about.number(),
            about.name(),
            doubt(about),
            bare ? List.of() : core.news(MembershipState.room(MembershipState.BYTES_MOST))));
  }

  /** What it has to refute may have changed since it was first asked. */
  private SuspicionLevel doubt(Probe about) {
    MemberRecord entry = core.table.get(about.name());
    return entry == null || about.suspicion().isPresent() ? about.suspicion() : entry.suspicion();
  }

  @Override
  public int askOthers(Probe about) {
    List<MemberRecord> others =
        core.table.someTalking(core.random, core.periods.indirectProbes(), about.name());
    for (MemberRecord other : others) {
      core.send(
          other.card().address(),
          new MemberMessage.Ask(
              core.own.card(),
              about.number(),
              about.name(),
              about.address(),
              doubt(about),
              List.of()));
    }
    return others.size();
  }

  @Override
  public boolean suspected(Probe about) {
    MemberRecord entry = core.table.get(about.name());
    return entry == null || entry.status() != MemberStatus.ALIVE;
  }

  @Override
  public void onlyOthers(Probe about) {
    MemberRecord entry = core.table.get(about.name());
    if (entry != null && entry.status().takesPart()) {
      core.table.lived(entry, about.startedAt());
      core.table.vouched(entry);
      if (entry.misses() > 0 && entry.reach() != Reachability.THROUGH_OTHERS) {
        verify(entry.update("", core.now));
      }
    }
  }

  @Override
  public void missed(Probe about) {
    MemberRecord entry = core.table.get(about.name());
    if (entry != null && core.table.suspect(entry, core.self, core.now, core.now)) {
      core.updates.put(entry.name(), core.self);
    }
  }

  void away() {
    probes.away();
    relays.away();
    verify.clear();
  }
}
