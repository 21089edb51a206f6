package tillerlink.peering.together;

import java.util.Arrays;
import java.util.List;
import java.util.NavigableMap;
import java.util.Random;
import java.util.Set;
import tillerlink.channels.Channels;
import tillerlink.cluster.ClusterComponent;
import tillerlink.cluster.KeyValueStore;
import tillerlink.cluster.MessageSender;
import tillerlink.cluster.Reachability;
import tillerlink.members.Identity;
import tillerlink.members.Members;
import tillerlink.members.config.MembershipConfig;
import tillerlink.members.config.MembershipListener;
import tillerlink.messages.MalformedMessageException;
import tillerlink.peering.storage.PrefixedKeyValueStore;
import tillerlink.simulation.InMemoryKeyValueStore;
import tillerlink.simulation.SimulatedFleet;
import tillerlink.statements.Statements;
import tillerlink.statements.StatementsConfig;
import tillerlink.statements.consensus.RaftConfig;
import tillerlink.statements.lease.LeaseConfig;
import tillerlink.statements.prepare.Renaming;

/**
 * One gateway with all three parts: a message's first byte says whose it is, and members tell the
 * others who is there.
 */
final class Host implements ClusterComponent {
  static final List<String> COUNTED = List.of("n1", "s1", "w1");
  private static final byte MEMBERS = 1;
  private static final byte CHANNELS = 2;
  private static final byte STATEMENTS = 3;

  final Members members;
  final Channels channels;
  final Statements statements;
  private final Runnable stepped;
  private List<ClusterComponent> parts = List.of();

  /**
   * @param stepped run after each step
   */
  Host(
      String name,
      SimulatedFleet fleet,
      InMemoryKeyValueStore disk,
      Random random,
      Runnable stepped) {
    this.stepped = stepped;
    MessageSender post = fleet.post(name);
    KeyValueStore keep =
        new KeyValueStore() {
          @Override
          public NavigableMap<String, byte[]> initialEntries() {
            return disk.initialEntries();
          }

          @Override
          public boolean set(String key, byte[] value, Runnable kept) {
            return disk.set(
                key,
                value,
                () -> {
                  if (kept != null) {
                    kept.run();
                  }
                  if (!parts.isEmpty()) {
                    fleet.touched(name);
                  }
                });
          }
        };
    members =
        new Members(
            new Identity("f", name, name.substring(0, 1), name, COUNTED, 0),
            MembershipConfig.usual(),
            (to, body) -> post.send(to, marked(MEMBERS, body)),
            new Random(random.nextLong()),
            new MembershipListener() {
              @Override
              public void onReachabilityChanged(String other, Reachability was, Reachability is) {
                // Asked, not told, here.
              }
            },
            fleet.wall(name));
    channels =
        new Channels(
            new tillerlink.channels.Terms(COUNTED, 50_000, 30_000, 64 << 20, 40, 8),
            members,
            (to, body) -> post.send(to, marked(CHANNELS, body)),
            new PrefixedKeyValueStore(keep, "channels"),
            new Random(random.nextLong()),
            fleet.wall(name),
            line -> {});
    try {
      statements =
          new Statements(
              new StatementsConfig(
                  COUNTED, new LeaseConfig(10_000, 0.02, 50), new RaftConfig(false, Set.of())),
              members,
              (to, body) -> post.send(to, marked(STATEMENTS, body)),
              new PrefixedKeyValueStore(keep, "statements"),
              new Random(random.nextLong()),
              new Renaming(),
              line -> {});
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
    parts = List.of(members, channels, statements);
  }

  /** It was killed: nothing that its disk still does is heard by it. */
  void gone() {
    parts = List.of();
  }

  private static byte[] marked(byte part, byte[] body) {
    byte[] all = new byte[1 + body.length];
    all[0] = part;
    System.arraycopy(body, 0, all, 1, body.length);
    return all;
  }

  @Override
  public void onMessage(long now, long wall, String from, byte[] body) {
    parts.get(body[0] - 1).onMessage(now, wall, from, Arrays.copyOfRange(body, 1, body.length));
    stepped.run();
  }

  @Override
  public void tick(long now, long wall) {
    parts.forEach(part -> part.tick(now, wall));
    stepped.run();
  }

  @Override
  public long nextDueAt() {
    return parts.stream().mapToLong(ClusterComponent::nextDueAt).min().orElse(Long.MAX_VALUE);
  }

  @Override
  public void onPause(long now, long wall, long lasted) {
    parts.forEach(part -> part.onPause(now, wall, lasted));
  }
}
