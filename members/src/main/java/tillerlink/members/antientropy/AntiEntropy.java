package tillerlink.members.antientropy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tillerlink.cluster.Invariant;
import tillerlink.messages.members.GossipUpdate;
import tillerlink.messages.members.MemberCodec;
import tillerlink.messages.members.MemberInfo;
import tillerlink.messages.members.MemberMessage;

/**
 * Comparing all that two members know: a sum for each bucket of names, then listings of the buckets
 * that differ, in pieces, then what the other lacked.
 */
public final class AntiEntropy {
  /** Pieces to be sent that wait at once; beyond it the comparison is taken up by the next one. */
  public static final int TASKS_MOST = 128;

  /** What is known, oneself counted. */
  public interface Known {
    /** Those of a bucket, in their order. */
    Iterable<String> names(int bucket);

    /** As it is told on now. */
    GossipUpdate update(String name);
  }

  private record Task(String address, int bucket, String after, List<String> only) {}

  private final Known known;
  private final Deque<Task> tasks = new ArrayDeque<>();

  public AntiEntropy(Known known) {
    this.known = known;
  }

  public boolean isIdle() {
    return tasks.isEmpty();
  }

  /** The sums of all that is known. */
  public List<Integer> sums(long salt) {
    List<Integer> sums = new ArrayList<>(MemberCodec.BUCKETS);
    for (int bucket = 0; bucket < MemberCodec.BUCKETS; bucket++) {
      int sum = 0;
      for (String name : known.names(bucket)) {
        sum += sum(known.update(name), salt);
      }
      sums.add(sum);
    }
    return sums;
  }

  private static int sum(GossipUpdate update, long salt) {
    long mixed = salt ^ update.name().hashCode();
    mixed = mix(mixed + update.card().incarnation());
    mixed = mix(mixed ^ update.card().birth());
    return (int) (mix(mixed + update.status().ordinal()) >>> 32);
  }

  private static long mix(long bits) {
    long mixed = (bits ^ bits >>> 30) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
    return mixed ^ mixed >>> 31;
  }

  /** Another told its sums: what differs is listed to it. */
  public void told(MemberMessage.Digest digest, String address) {
    List<Integer> own = sums(digest.salt());
    for (int bucket = 0; bucket < own.size(); bucket++) {
      if (!own.get(bucket).equals(digest.sums().get(bucket))) {
        add(new Task(address, bucket, "", null));
      }
    }
  }

  private void add(Task task) {
    if (tasks.size() < TASKS_MOST && !tasks.contains(task)) {
      tasks.add(task);
    }
    Invariant.holds(tasks.size() <= TASKS_MOST, () -> "pieces of digests: " + tasks.size());
  }

  /**
   * Another listed what it holds: it gets what is held above that here. To be called before that is
   * taken in.
   */
  public void told(MemberMessage.Listing listing, String address) {
    if (!listing.reply()) {
      return;
    }
    Map<String, GossipUpdate> theirs = new HashMap<>();
    listing.updates().forEach(update -> theirs.put(update.name(), update));
    List<String> lacks = new ArrayList<>();
    for (String name : known.names(listing.bucket())) {
      boolean within =
          name.compareTo(listing.after()) > 0
              && (listing.upTo().isEmpty() || name.compareTo(listing.upTo()) <= 0);
      if (within && above(known.update(name), theirs.get(name))) {
        lacks.add(name);
      }
    }
    if (!lacks.isEmpty()) {
      add(new Task(address, listing.bucket(), "", lacks));
    }
  }

  private static boolean above(GossipUpdate own, GossipUpdate theirs) {
    if (theirs == null) {
      return true;
    }
    int order = own.card().compare(theirs.card());
    return order != 0 ? order > 0 : own.status().compareTo(theirs.status()) > 0;
  }

  /**
   * The next piece goes out; false if there is none.
   *
   * @param room bytes for gossip updates
   */
  public boolean send(MemberInfo card, int room, Sender sender) {
    Task task = tasks.poll();
    if (task == null) {
      return false;
    }
    List<GossipUpdate> piece = new ArrayList<>();
    String last = task.after;
    int left = room;
    boolean whole = true;
    for (String name : task.only != null ? task.only : known.names(task.bucket)) {
      if (name.compareTo(task.after) <= 0) {
        continue;
      }
      GossipUpdate update = known.update(name);
      int size = update == null ? 0 : MemberCodec.size(update);
      if (!piece.isEmpty() && (size > left || piece.size() >= MemberCodec.MAX_UPDATES)) {
        whole = false;
        break;
      }
      if (update != null) {
        piece.add(update);
      }
      left -= size;
      last = name;
    }
    sender.send(
        task.address,
        new MemberMessage.Listing(
            card, task.bucket, task.after, whole ? "" : last, task.only == null, piece));
    if (!whole) {
      tasks.addFirst(new Task(task.address, task.bucket, last, task.only));
    }
    return true;
  }

  /** Where pieces go. */
  @FunctionalInterface
  public interface Sender {
    void send(String address, MemberMessage message);
  }
}
