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
 * The gossip updates that are piggybacked on messages: at most one of each member, those sent least
 * often first. The queue holds names; the update itself is looked up when it is sent, so that it is
 * never older than what is known.
 *
 * <p>No I/O; owned by the gateway's event loop.
 */
public class GossipQueue {
  private record Entry(String name, String accuser, int transmissions, long sequence) {}

  /** Those sent least often first; among them the latest first. */
  private static final Comparator<Entry> SENDING_ORDER =
      Comparator.comparingInt(Entry::transmissions)
          .thenComparing(Comparator.comparingLong(Entry::sequence).reversed());

  private final Map<String, Entry> entries = new TreeMap<>();
  private final NavigableSet<Entry> queue = new TreeSet<>(SENDING_ORDER);
  private final int maxSize;
  private long nextSequence;

  /**
   * An empty queue.
   *
   * @param maxSize how many updates are queued; beyond it those sent most often are dropped
   */
  public GossipQueue(int maxSize) {
    this.maxSize = maxSize;
  }

  /**
   * Queues an update of a member in place of the one that is queued already.
   *
   * @param accuser who suspects the member or declared it failed; empty if nobody does
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

  /** Queues an update of a member again for somebody who missed it, unless one is queued. */
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

  /** Whether nothing is queued. */
  public boolean isEmpty() {
    return queue.isEmpty();
  }

  /** How many updates are queued. */
  public int size() {
    return queue.size();
  }

  /**
   * Takes the updates for the next message.
   *
   * @param maxBytes the room for them
   * @param maxTransmissions an update that was sent so often is removed from the queue
   * @param lookup the update of a name with an accuser; null if there is nothing to be said
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
