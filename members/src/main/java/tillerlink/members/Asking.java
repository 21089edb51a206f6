package tillerlink.members;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tillerlink.cluster.Reach;
import tillerlink.members.probe.Health;
import tillerlink.members.probe.Probes;
import tillerlink.members.probe.Relays;
import tillerlink.members.probe.Rotation;
import tillerlink.members.probe.Try;
import tillerlink.members.state.Entry;
import tillerlink.messages.members.Doubt;
import tillerlink.messages.members.MemberMessage;
import tillerlink.messages.members.Rumour;
import tillerlink.messages.members.Standing;

/** Whom this process asks, and what it makes of silence. */
final class Asking implements Probes.Steps {
  /** Members to be asked out of their turn that wait at once; the others get their turn. */
  static final int VERIFY_MOST = 64;

  private static final int VERIFY_AT_ONCE = 2;

  private final Core core;
  private final List<String> seeds;
  final Health health;
  final Probes probes;
  final Relays relays;
  private final Rotation rotation;
  private final Map<String, Rumour> verify = new LinkedHashMap<>();
  private int nextSeed;

  Asking(Core core, List<String> seeds) {
    this.core = core;
    this.seeds = seeds;
    health = new Health(core.periods.healthMost());
    probes = new Probes(core.periods, health, core.random, this);
    relays = new Relays(core.random);
    rotation = new Rotation(core.random);
  }

  // ---- whom ----

  void probeNext() {
    for (int i = 0; i < core.table.size() + 1; i++) {
      String name = rotation.next(core.table::talkingNames);
      Entry entry = name == null ? null : core.table.get(name);
      if (name == null) {
        return;
      }
      if (entry != null && entry.standing().takesPart() && !probes.underWay(name)) {
        member(entry, entry.doubt());
        return;
      }
    }
  }

  private void member(Entry entry, Doubt doubt) {
    probes.start(
        Try.Kind.MEMBER, entry.name(), entry.card().address(), doubt, entry.roundTrip(), core.now);
  }

  void newMember(String name) {
    rotation.add(name);
  }

  /** Somebody who is gone, or a seed's address: a partition may have healed. */
  void retry() {
    Entry gone = core.random.nextBoolean() ? core.table.anyGone(core.random) : null;
    if (gone != null) {
      probes.start(Try.Kind.GONE, gone.name(), gone.card().address(), gone.doubt(), 0, core.now);
    } else if (!seeds.isEmpty()) {
      String seed = seeds.get(nextSeed++ % seeds.size());
      if (!seed.equals(core.own.card().address())) {
        probes.start(Try.Kind.SEED, "", seed, Doubt.NONE, 0, core.now);
      }
    } else if (core.table.anyGone(core.random) != null) {
      Entry any = core.table.anyGone(core.random);
      probes.start(Try.Kind.GONE, any.name(), any.card().address(), any.doubt(), 0, core.now);
    }
  }

  void rival(String address) {
    probes.start(Try.Kind.RIVAL, core.self, address, Doubt.NONE, 0, core.now);
  }

  /** What was told of it is not believed, or may be wrong: it is asked itself soon. */
  void verify(Rumour rumour) {
    if (verify.size() < VERIFY_MOST) {
      verify.put(rumour.name(), rumour);
    }
  }

  boolean hasToVerify() {
    return !verify.isEmpty();
  }

  void verifySome() {
    for (int i = 0; i < VERIFY_AT_ONCE && !verify.isEmpty(); i++) {
      Rumour rumour = verify.remove(verify.keySet().iterator().next());
      Doubt doubt =
          rumour.standing() == Standing.ALIVE
              ? Doubt.NONE
              : new Doubt(rumour.standing(), rumour.card().incarnation(), rumour.card().birth());
      Entry entry = core.table.get(rumour.name());
      if (probes.underWay(rumour.name())) {
        continue;
      }
      if (entry != null && entry.standing().takesPart()) {
        member(entry, doubt.is() ? doubt : entry.doubt());
      } else {
        probes.start(
            Try.Kind.HEARSAY,
            rumour.name(),
            rumour.card().address(),
            entry == null ? doubt : entry.doubt(),
            0,
            core.now);
      }
    }
  }

  // ---- steps ----

  @Override
  public void ask(Try about, boolean bare) {
    core.send(
        about.address(),
        new MemberMessage.Probe(
            core.own.card(),
            about.number(),
            about.name(),
            doubt(about),
            bare ? List.of() : core.news(Core.room(Core.BYTES_MOST))));
  }

  /** What it has to refute may have changed since it was first asked. */
  private Doubt doubt(Try about) {
    Entry entry = core.table.get(about.name());
    return entry == null || about.doubt().is() ? about.doubt() : entry.doubt();
  }

  @Override
  public int askOthers(Try about) {
    List<Entry> others = core.table.someTalking(core.random, core.periods.relays(), about.name());
    for (Entry other : others) {
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
  public boolean suspected(Try about) {
    Entry entry = core.table.get(about.name());
    return entry == null || entry.standing() != Standing.ALIVE;
  }

  @Override
  public void onlyOthers(Try about) {
    Entry entry = core.table.get(about.name());
    if (entry != null && entry.standing().takesPart()) {
      core.table.lived(entry, about.startedAt());
      core.table.vouched(entry);
      if (entry.misses() > 0 && entry.reach() != Reach.THROUGH_OTHERS) {
        verify(entry.rumour("", core.now));
      }
    }
  }

  @Override
  public void missed(Try about) {
    Entry entry = core.table.get(about.name());
    if (entry != null && core.table.suspect(entry, core.self, core.now, core.now)) {
      core.rumours.put(entry.name(), core.self);
    }
  }

  void away() {
    probes.away();
    relays.away();
    verify.clear();
  }
}
