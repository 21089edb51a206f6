package tillerlink.members.gossip;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiFunction;
import tillerlink.cluster.Invariant;
import tillerlink.messages.members.GossipUpdate;
import tillerlink.messages.members.MemberCodec;

/**
 * News to be told on: at most one of each member, those sent least often first. What it says is
 * looked up when it is sent, so that it is never older than what is known.
 */
public class GossipQueue {
  private record Item(String name, String by, int sent, long order) {}

  private static final Comparator<Item> LEAST_SENT =
      Comparator.comparingInt(Item::sent)
          .thenComparing(Comparator.comparingLong(Item::order).reversed());

  private final Map<String, Item> items = new TreeMap<>();
  private final NavigableSet<Item> queue = new TreeSet<>(LEAST_SENT);
  private final int most;
  private long order;

  /**
   * @param most that many wait at once; beyond it those sent most often are dropped
   */
  public GossipQueue(int most) {
    this.most = most;
  }

  /** News of a member, in place of what was to be told of it before. */
  public void put(String name, String by) {
    remove(name);
    Item item = new Item(name, by, 0, order++);
    items.put(name, item);
    queue.add(item);
    if (queue.size() > most) {
      remove(queue.last().name());
    }
    Invariant.holds(
        items.size() == queue.size() && queue.size() <= most, () -> "rumours: " + queue.size());
  }

  /** News once more, for somebody who missed it; nothing if it is told on anyway. */
  public void again(String name, String by) {
    if (!items.containsKey(name)) {
      put(name, by);
    }
  }

  public void remove(String name) {
    Item item = items.remove(name);
    if (item != null) {
      queue.remove(item);
    }
  }

  public boolean isEmpty() {
    return queue.isEmpty();
  }

  public int size() {
    return queue.size();
  }

  /**
   * What goes with the next message.
   *
   * @param room bytes
   * @param sendsMost after that it is no news any more
   * @param look what is to be said of a name, by whom; null if nothing
   */
  public List<GossipUpdate> take(
      int room, int sendsMost, BiFunction<String, String, GossipUpdate> look) {
    List<GossipUpdate> taken = new ArrayList<>();
    List<Item> items = new ArrayList<>();
    int left = room;
    for (Item item : queue) {
      GossipUpdate update = look.apply(item.name, item.by);
      int size = update == null ? 0 : MemberCodec.size(update);
      if (size > left || taken.size() >= MemberCodec.MAX_UPDATES) {
        break;
      }
      left -= size;
      items.add(item);
      if (update != null) {
        taken.add(update);
      }
    }
    items.forEach(item -> sent(item, sendsMost, look));
    return taken;
  }

  private void sent(Item item, int sendsMost, BiFunction<String, String, GossipUpdate> look) {
    remove(item.name);
    if (item.sent + 1 < sendsMost && look.apply(item.name, item.by) != null) {
      Item next = new Item(item.name, item.by, item.sent + 1, item.order);
      items.put(item.name, next);
      queue.add(next);
    }
  }
}
