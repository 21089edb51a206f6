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
 * A simulated gateway with membership, channels and statements. The first byte of a message is the
 * number of the component it is addressed to.
 */
final class SimulatedGateway implements ClusterComponent {
  static final List<String> VOTERS = List.of("n1", "s1", "w1");
  private static final byte MEMBERS = 1;
  private static final byte CHANNELS = 2;
  private static final byte STATEMENTS = 3;

  final Members members;
  final Channels channels;
  final Statements statements;
  private final Runnable onStep;
  private List<ClusterComponent> components = List.of();

  /**
   * Creates the gateway and its components.
   *
   * @param onStep run after each message and each tick
   */
  SimulatedGateway(
      String name,
      SimulatedFleet fleet,
      InMemoryKeyValueStore disk,
      Random random,
      Runnable onStep) {
    this.onStep = onStep;
    MessageSender sender = fleet.sender(name);
    KeyValueStore store =
        new KeyValueStore() {
          @Override
          public NavigableMap<String, byte[]> initialEntries() {
            return disk.initialEntries();
          }

          @Override
          public boolean set(String key, byte[] value, Runnable onDurable) {
            return disk.set(
                key,
                value,
                () -> {
                  if (onDurable != null) {
                    onDurable.run();
                  }
                  if (!components.isEmpty()) {
                    fleet.reschedule(name);
                  }
                });
          }
        };
    members =
        new Members(
            new Identity("f", name, name.substring(0, 1), name, VOTERS, 0),
            MembershipConfig.usual(),
            (to, body) -> sender.send(to, prefixed(MEMBERS, body)),
            new Random(random.nextLong()),
            new MembershipListener() {
              @Override
              public void onReachabilityChanged(String other, Reachability was, Reachability is) {
                // Scenarios query the membership directly.
              }
            },
            fleet.wall(name));
    channels =
        new Channels(
            new tillerlink.channels.ChannelLogConfig(VOTERS, 50_000, 30_000, 64 << 20, 40, 8),
            members,
            (to, body) -> sender.send(to, prefixed(CHANNELS, body)),
            new PrefixedKeyValueStore(store, "channels"),
            new Random(random.nextLong()),
            fleet.wall(name),
            line -> {});
    try {
      statements =
          new Statements(
              new StatementsConfig(
                  VOTERS, new LeaseConfig(10_000, 0.02, 50), new RaftConfig(false, Set.of())),
              members,
              (to, body) -> sender.send(to, prefixed(STATEMENTS, body)),
              new PrefixedKeyValueStore(store, "statements"),
              new Random(random.nextLong()),
              new Renaming(),
              line -> {});
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
    components = List.of(members, channels, statements);
  }

  /** Stops scheduling the gateway on callbacks of its disk; called when it is killed. */
  void detach() {
    components = List.of();
  }

  private static byte[] prefixed(byte component, byte[] body) {
    byte[] all = new byte[1 + body.length];
    all[0] = component;
    System.arraycopy(body, 0, all, 1, body.length);
    return all;
  }

  @Override
  public void onMessage(long now, long wall, String from, byte[] body) {
    components
        .get(body[0] - 1)
        .onMessage(now, wall, from, Arrays.copyOfRange(body, 1, body.length));
    onStep.run();
  }

  @Override
  public void tick(long now, long wall) {
    components.forEach(component -> component.tick(now, wall));
    onStep.run();
  }

  @Override
  public long nextDueAt() {
    return components.stream().mapToLong(ClusterComponent::nextDueAt).min().orElse(Long.MAX_VALUE);
  }

  @Override
  public void onPause(long now, long wall, long lasted) {
    components.forEach(component -> component.onPause(now, wall, lasted));
  }
}
