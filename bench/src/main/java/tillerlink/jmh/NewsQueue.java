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
 * One piece of news comes, in place of what was to be told of that member, and a message takes what
 * was sent least often: the queue that members use against a heap, in which what is replaced has to
 * be searched for.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class NewsQueue {
  private static final int ROOM = 400;
  private static final int SENDS_MOST = 1_000_000_000;

  private record Item(String name, int sent, long order) {}

  /** How many members there is news of. */
  @Param({"10", "100", "1000"})
  private int news;

  private String[] names;
  private final Map<String, GossipUpdate> said = new HashMap<>();
  private GossipQueue rumours;
  private final PriorityQueue<Item> heap =
      new PriorityQueue<>(
          Comparator.comparingInt(Item::sent)
              .thenComparing(Comparator.comparingLong(Item::order).reversed()));
  private final Map<String, Item> items = new HashMap<>();
  private long order;
  private int next;

  @Setup
  public void make() {
    names = new String[news];
    rumours = new GossipQueue(news);
    for (int i = 0; i < news; i++) {
      names[i] = "north-" + i;
      MemberInfo card = new MemberInfo(1, 77L * i, "10.1.0.9:7400", "north");
      said.put(names[i], new GossipUpdate(names[i], MemberStatus.ALIVE, card, "", 0));
      rumours.put(names[i], "");
      put(names[i]);
    }
  }

  private String any() {
    next = (next + 7919) % news;
    return names[next];
  }

  @Benchmark
  public List<GossipUpdate> queue() {
    rumours.put(any(), "");
    return rumours.take(ROOM, SENDS_MOST, (name, by) -> said.get(name));
  }

  @Benchmark
  public List<GossipUpdate> heap() {
    put(any());
    List<GossipUpdate> taken = new ArrayList<>();
    List<Item> sent = new ArrayList<>();
    int left = ROOM;
    while (!heap.isEmpty()) {
      GossipUpdate rumour = said.get(heap.peek().name);
      int size = MemberCodec.size(rumour);
      if (size > left) {
        break;
      }
      left -= size;
      taken.add(rumour);
      sent.add(heap.poll());
    }
    for (Item item : sent) {
      Item again = new Item(item.name, item.sent + 1, item.order);
      items.put(item.name, again);
      heap.add(again);
    }
    return taken;
  }

  private void put(String name) {
    Item item = new Item(name, 0, order++);
    Item before = items.put(name, item);
    if (before != null) {
      heap.remove(before);
    }
    heap.add(item);
  }
}
