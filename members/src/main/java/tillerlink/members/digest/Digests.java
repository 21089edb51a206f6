package tillerlink.members.digest;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tillerlink.messages.members.Card;
import tillerlink.messages.members.MemberCodec;
import tillerlink.messages.members.MemberMessage;
import tillerlink.messages.members.Rumour;
import tillerlink.peers.Invariant;

/**
 * Comparing all that two members know: a sum for each bucket of names, then listings of the buckets that differ, in
 * pieces, then what the other lacked.
 */
public final class Digests {
    /** Pieces to be sent that wait at once; beyond it the comparison is taken up by the next one. */
    public static final int TASKS_MOST = 128;

    /** What is known, oneself counted. */
    public interface Known {
        /** In their order; the own one last. */
        Iterable<String> names();

        /** As it is told on now. */
        Rumour rumour(String name);
    }

    private record Task(String address, int bucket, String after, List<String> only) {
    }

    private final Known known;
    private final Deque<Task> tasks = new ArrayDeque<>();

    public Digests(Known known) {
        this.known = known;
    }

    public boolean isIdle() {
        return tasks.isEmpty();
    }

    private static int bucket(String name) {
        int hash = name.hashCode() * 0x9e3779b9;
        return hash >>> 27;
    }

    /** The sums of all that is known. */
    public List<Integer> sums(long salt) {
        int[] sums = new int[MemberCodec.BUCKETS];
        for (String name : known.names()) {
            Rumour rumour = known.rumour(name);
            sums[bucket(name)] += sum(rumour, salt);
        }
        List<Integer> list = new ArrayList<>(sums.length);
        for (int sum : sums) {
            list.add(sum);
        }
        return list;
    }

    private static int sum(Rumour rumour, long salt) {
        long mixed = salt ^ rumour.name().hashCode();
        mixed = mix(mixed + rumour.card().incarnation());
        mixed = mix(mixed ^ rumour.card().birth());
        return (int) (mix(mixed + rumour.standing().ordinal()) >>> 32);
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

    /** Another listed what it holds: it gets what is held above that here. To be called before that is taken in. */
    public void told(MemberMessage.Listing listing, String address) {
        if (!listing.reply()) {
            return;
        }
        Map<String, Rumour> theirs = new HashMap<>();
        listing.rumours().forEach(rumour -> theirs.put(rumour.name(), rumour));
        List<String> lacks = new ArrayList<>();
        for (String name : names(listing.bucket())) {
            boolean within = name.compareTo(listing.after()) > 0
                    && (listing.upTo().isEmpty() || name.compareTo(listing.upTo()) <= 0);
            if (within && above(known.rumour(name), theirs.get(name))) {
                lacks.add(name);
            }
        }
        if (!lacks.isEmpty()) {
            add(new Task(address, listing.bucket(), "", lacks));
        }
    }

    private static boolean above(Rumour own, Rumour theirs) {
        if (theirs == null) {
            return true;
        }
        int order = own.card().compare(theirs.card());
        return order != 0 ? order > 0 : own.standing().compareTo(theirs.standing()) > 0;
    }

    /**
     * The next piece goes out; false if there is none.
     *
     * @param room bytes for rumours
     */
    public boolean send(Card card, int room, Sender sender) {
        Task task = tasks.poll();
        if (task == null) {
            return false;
        }
        List<Rumour> piece = new ArrayList<>();
        String last = task.after;
        int left = room;
        boolean whole = true;
        for (String name : task.only != null ? task.only : names(task.bucket)) {
            if (name.compareTo(task.after) <= 0) {
                continue;
            }
            Rumour rumour = known.rumour(name);
            int size = rumour == null ? 0 : MemberCodec.size(rumour);
            if (!piece.isEmpty() && (size > left || piece.size() >= MemberCodec.RUMOURS_MOST)) {
                whole = false;
                break;
            }
            if (rumour != null) {
                piece.add(rumour);
            }
            left -= size;
            last = name;
        }
        sender.send(task.address, new MemberMessage.Listing(card, task.bucket, task.after,
                whole ? "" : last, task.only == null, piece));
        if (!whole) {
            tasks.addFirst(new Task(task.address, task.bucket, last, task.only));
        }
        return true;
    }

    /** Of a bucket, in their order. */
    private List<String> names(int bucket) {
        List<String> names = new ArrayList<>();
        for (String name : known.names()) {
            if (bucket(name) == bucket) {
                names.add(name);
            }
        }
        Collections.sort(names);
        return names;
    }

    /** Where pieces go. */
    @FunctionalInterface
    public interface Sender {
        void send(String address, MemberMessage message);
    }
}
