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
 * The queue of gossip updates to be piggybacked on messages. It contains at most one update for
 * each member and returns those sent least often first. The queue stores only names; the update
 * itself is looked up when it is sent, so that it always reflects the member table.
 *
 * <p>This class does no I/O and is confined to the gateway's event loop.
 */
public class GossipQueue {
  private record Entry(String name, String accuser, int transmissions, long sequence) {}

  /** Orders entries by number of transmissions, and the most recently queued first among equals. */
  private static final Comparator<Entry> SENDING_ORDER =
      Comparator.comparingInt(Entry::transmissions)
          .thenComparing(Comparator.comparingLong(Entry::sequence).reversed());

  private final Map<String, Entry> entries = new TreeMap<>();
  private final NavigableSet<Entry> queue = new TreeSet<>(SENDING_ORDER);
  private final int maxSize;
  private long nextSequence;

  /**
   * Creates an empty queue.
   *
   * @param maxSize maximum number of queued updates; beyond it those sent most often are dropped
   */
  public GossipQueue(int maxSize) {
    this.maxSize = maxSize;
  }

  /**
   * Queues an update of a member, replacing any update of that member that is already queued.
   *
   * @param name the name of the member
   * @param accuser the member that suspects it or declared it failed; empty if there is none
   */
  public void put(String name, String accuser) {
    remove(name);
    Entry entry = new Entry(name, accuser, 0, nextSequence++);
    entries.put(name, entry);
    queue.add(entry);
    if (queue.size() > maxSize) {
      remove(queue.last().name());
    }
    Invariant.holds(
        entries.size() == queue.size() && queue.size() <= maxSize,
        () ->
            "queued gossip updates: "
                + queue.size()
                + " for "
                + entries.size()
                + " members, the limit is "
                + maxSize);
  }

  /**
   * Queues an update of a member unless one is already queued. Used to repeat an update for a
   * member that missed it.
   *
   * @param name the name of the member
   * @param accuser the member that suspects it or declared it failed; empty if there is none
   */
  public void putIfAbsent(String name, String accuser) {
    if (!entries.containsKey(name)) {
      put(name, accuser);
    }
  }

  private void remove(String name) {
    Entry entry = entries.remove(name);
    if (entry != null) {
      queue.remove(entry);
    }
  }

  /** Returns whether no update is queued. */
  public boolean isEmpty() {
    return queue.isEmpty();
  }

  /** Returns the number of queued updates. */
  public int size() {
    return queue.size();
  }

  /**
   * Returns the updates for the next message and counts them as sent.
   *
   * @param maxBytes the maximum total length of the updates, in bytes
   * @param maxTransmissions the number of transmissions after which an update is removed
   * @param lookup returns the update for a name and an accuser; null if the member is unknown
   */
  public List<GossipUpdate> take(
      int maxBytes, int maxTransmissions, BiFunction<String, String, GossipUpdate> lookup) {
    List<GossipUpdate> updates = new ArrayList<>();
    List<Entry> taken = new ArrayList<>();
    int remaining = maxBytes;
    for (Entry entry : queue) {
      GossipUpdate update = lookup.apply(entry.name, entry.accuser);
      int size = update == null ? 0 : MemberCodec.size(update);
      if (size > remaining || updates.size() >= MemberCodec.MAX_UPDATES) {
        break;
      }
      remaining -= size;
      taken.add(entry);
      if (update != null) {
        updates.add(update);
      }
    }
    taken.forEach(entry -> onSent(entry, maxTransmissions, lookup));
    return updates;
  }

  private void onSent(
      Entry entry, int maxTransmissions, BiFunction<String, String, GossipUpdate> lookup) {
    remove(entry.name);
    boolean sendAgain = entry.transmissions + 1 < maxTransmissions;
    if (sendAgain && lookup.apply(entry.name, entry.accuser) != null) {
      Entry next = new Entry(entry.name, entry.accuser, entry.transmissions + 1, entry.sequence);
      entries.put(entry.name, next);
      queue.add(next);
    }
  }
}
