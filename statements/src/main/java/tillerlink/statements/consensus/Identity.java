package tillerlink.statements.consensus;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;
import tillerlink.cluster.Invariant;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.statements.Stamp;
import tillerlink.messages.statements.StatementMessage.Stage;

/**
 * Who this voter is to the others: its disk, how often it started on it, and what it knows of the
 * others' starts.
 */
final class Identity {
  private static final String NAME = "identity";

  private final Voters voters;
  private final DurableState disk;
  private final List<Long> boots;
  private long number;
  private Stage stage = Stage.FRESH;
  private List<Long> pledge = List.of();

  Identity(Voters voters, DurableState disk, RandomGenerator random)
      throws MalformedMessageException {
    this.voters = voters;
    this.disk = disk;
    boots = new ArrayList<>(Collections.nCopies(voters.count(), 0L));
    byte[] kept = disk.found().get(NAME);
    if (kept == null) {
      number = random.nextLong() | 1;
    } else {
      read(new FieldReader(kept));
    }
    bootsAre(voters.place(voters.self()), boots() + 1);
  }

  private void read(FieldReader in) throws MalformedMessageException {
    List<Long> seen = new ArrayList<>();
    List<Long> pledged = new ArrayList<>();
    while (in.next()) {
      switch (in.field()) {
        case 1 -> number = in.fixed();
        case 2 -> stage = Stage.values()[(int) in.number(Stage.values().length - 1)];
        case 3 -> seen.add(one(in.within()));
        case 4 -> pledged.add(one(in.within()));
        default -> {}
      }
    }
    if (seen.size() == voters.count()) {
      Collections.copy(boots, seen);
    }
    pledge = pledged.size() == voters.count() ? List.copyOf(pledged) : List.of();
  }

  private static long one(FieldReader in) throws MalformedMessageException {
    long value = 0;
    while (in.next()) {
      value = in.field() == 1 ? in.fixed() : value;
    }
    return value;
  }

  private void keep() {
    FieldWriter to = new FieldWriter().fixed(1, number).number(2, stage.ordinal());
    boots.forEach(each -> to.within(3, new FieldWriter().fixed(1, each)));
    pledge.forEach(each -> to.within(4, new FieldWriter().fixed(1, each)));
    disk.write(NAME, to.done());
  }

  void rewrite() {
    keep();
  }

  long disk() {
    return number;
  }

  Stage stage() {
    return stage;
  }

  List<Long> pledge() {
    return pledge;
  }

  void stageIs(Stage next, List<Long> pledged) {
    Invariant.holds(
        pledge.isEmpty() || pledge.equals(pledged) || next == Stage.LOST, () -> "a second pledge");
    stage = next;
    pledge = List.copyOf(pledged);
    keep();
  }

  /** The disk's place was taken by another: it starts over as an empty one. */
  void startOver(RandomGenerator random) {
    number = random.nextLong() | 1;
    stage = Stage.LOST;
    pledge = List.of();
    keep();
  }

  long boots() {
    return boots(voters.place(voters.self()));
  }

  long boots(int place) {
    return boots.get(place);
  }

  void bootsAre(int place, long count) {
    Invariant.holds(count >= boots.get(place), () -> "starts of a voter fall");
    boots.set(place, count);
    keep();
  }

  Stamp stamp() {
    return new Stamp(voters.hash(), number, boots(), boots);
  }
}
