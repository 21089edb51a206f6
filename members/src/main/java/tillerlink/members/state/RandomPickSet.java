package tillerlink.members.state;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Entries to pick one from by chance, in constant time; the order is that of what happened, so a
 * seed repeats it.
 */
final class RandomPickSet {
  private final List<MemberRecord> entries = new ArrayList<>();

  void add(MemberRecord entry) {
    entry.place = entries.size();
    entries.add(entry);
  }

  void remove(MemberRecord entry) {
    MemberRecord last = entries.remove(entries.size() - 1);
    if (last != entry) {
      entries.set(entry.place, last);
      last.place = entry.place;
    }
    entry.place = -1;
  }

  boolean has(MemberRecord entry) {
    return entry.place >= 0 && entry.place < entries.size() && entries.get(entry.place) == entry;
  }

  int size() {
    return entries.size();
  }

  MemberRecord get(int i) {
    return entries.get(i);
  }

  MemberRecord any(RandomGenerator random) {
    return entries.isEmpty() ? null : entries.get(random.nextInt(entries.size()));
  }
}
