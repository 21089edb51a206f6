package tillerlink.jmh;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import tillerlink.members.gossip.GossipQueue;
import tillerlink.messages.members.GossipUpdate;
import tillerlink.messages.members.MemberCodec;
import tillerlink.messages.members.MemberInfo;
import tillerlink.messages.members.MemberStatus;

/**
 * Compares the queue of gossip updates that members use with a heap. A gossip update is queued and
 * replaces the update of the same member; a message then takes the updates that were sent least
 * often. In the heap, the update that is replaced has to be searched for.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class GossipQueueAgainstHeap {
  private static final int CAPACITY_BYTES = 400;
  private static final int MAX_TRANSMISSIONS = 1_000_000_000;

  private record Item(String name, int transmissions, long sequence) {}

  /** The number of members that have updates in the queue. */
  @Param({"10", "100", "1000"})
  private int members;

  private String[] names;
  private final Map<String, GossipUpdate> updates = new HashMap<>();
  private GossipQueue queue;
  private final PriorityQueue<Item> heap =
      new PriorityQueue<>(
          Comparator.comparingInt(Item::transmissions)
              .thenComparing(Comparator.comparingLong(Item::sequence).reversed()));
  private final Map<String, Item> itemsByName = new HashMap<>();
  private long nextSequence;
  private int lastPicked;

  /** Queues one update of each member in both queues. */
  @Setup
  public void setUp() {
    names = new String[members];
    queue = new GossipQueue(members);
    for (int i = 0; i < members; i++) {
      names[i] = "north-" + i;
      MemberInfo info = new MemberInfo(1, 77L * i, "10.1.0.9:7400", "north");
      updates.put(names[i], new GossipUpdate(names[i], MemberStatus.ALIVE, info, "", 0));
      queue.put(names[i], "");
      putIntoHeap(names[i]);
    }
  }

  private String pickMember() {
    lastPicked = (lastPicked + 7919) % members;
    return names[lastPicked];
  }

  /** Queues an update and takes the updates of one message, with the queue that members use. */
  @Benchmark
  public List<GossipUpdate> queue() {
    queue.put(pickMember(), "");
    return queue.take(CAPACITY_BYTES, MAX_TRANSMISSIONS, (name, accuser) -> updates.get(name));
  }

  /**
   * Queues an update and takes the updates of one message, with a heap. The updates taken are
   * queued again with one more transmission.
   */
  @Benchmark
  public List<GossipUpdate> heap() {
    putIntoHeap(pickMember());
    List<GossipUpdate> taken = new ArrayList<>();
    List<Item> sent = new ArrayList<>();
    int bytesLeft = CAPACITY_BYTES;
    while (!heap.isEmpty()) {
      GossipUpdate update = updates.get(heap.peek().name);
      int size = MemberCodec.size(update);
      if (size > bytesLeft) {
        break;
      }
      bytesLeft -= size;
      taken.add(update);
      sent.add(heap.poll());
    }
    for (Item item : sent) {
      Item requeued = new Item(item.name, item.transmissions + 1, item.sequence);
      itemsByName.put(item.name, requeued);
      heap.add(requeued);
    }
    return taken;
  }

  private void putIntoHeap(String name) {
    Item item = new Item(name, 0, nextSequence++);
    Item replaced = itemsByName.put(name, item);
    if (replaced != null) {
      heap.remove(replaced);
    }
    heap.add(item);
  }
}
