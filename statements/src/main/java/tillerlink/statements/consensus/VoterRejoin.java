package tillerlink.statements.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import tillerlink.messages.statements.StatementMessage.Hello;
import tillerlink.messages.statements.StatementMessage.Seen;
import tillerlink.messages.statements.StatementMessage.Stage;

/**
 * What a voter does before it takes part. From an empty disk: either all voters' disks are empty,
 * then they found the fleet's log together; or its disk was lost, then the log itself has to admit
 * the new one. From any other disk: it asks the others how far they and it were, as its disk may be
 * an old copy.
 */
final class VoterRejoin {
  /** What a voter may rely on once it is back. */
  interface Host {
    /** It may vote, but for nobody who is behind that, and in no term up to this one. */
    void returned(long term, long lastTerm, long lastIndex);

    void founded(List<Long> disks);

    void told(String words);
  }

  private record Greeting(long nonce, long known) {}

  private static final long AGAIN = 2000;

  private final Voters voters;
  private final Identity identity;
  private final DurableState disk;
  private final Outbox out;
  private final RandomGenerator random;
  private final Host host;
  private final int self;
  private final Map<Integer, Seen> answers = new TreeMap<>();
  private final Map<Integer, Greeting> greetings = new TreeMap<>();
  private long nonce;
  private long askAt;
  private boolean back;

  VoterRejoin(
      Voters voters,
      Identity identity,
      DurableState disk,
      Outbox out,
      RandomGenerator random,
      Host host) {
    this.voters = voters;
    this.identity = identity;
    this.disk = disk;
    this.out = out;
    this.random = random;
    this.host = host;
    self = voters.place(voters.self());
    nonce = random.nextLong();
  }

  long dueAt() {
    return back ? Long.MAX_VALUE : askAt;
  }

  /** The disk is vouched for by the operator: nobody is asked. */
  void vouched() {
    if (identity.stage() == Stage.FOUNDED && !back) {
      back = true;
      host.returned(0, 0, 0);
    }
  }

  void turn(long now) {
    if (back || now < askAt) {
      return;
    }
    askAt = now + AGAIN;
    consider();
    if (back) {
      return;
    }
    disk.then(
        () -> {
          for (String name : voters.names()) {
            if (!name.equals(voters.self())) {
              out.send(name, new Hello(identity.stamp(), nonce, identity.stage()));
            }
          }
        });
  }

  /**
   * What was known of that voter's starts before this one; the same for a repeat, as the first
   * answer may be lost.
   */
  long knownBefore(int place, Hello hello, long known) {
    Greeting last = greetings.get(place);
    if (last == null || last.nonce != hello.nonce()) {
      last = new Greeting(hello.nonce(), known);
      greetings.put(place, last);
    }
    return last.known;
  }

  void answered(int place, Seen seen) {
    if (back || seen.nonce() != nonce) {
      return;
    }
    if (seen.known() >= identity.boots()) {
      if (identity.stage() == Stage.FOUNDED) {
        host.told(
            "this voter's disk is an older copy: it started " + seen.known() + " times before");
      }
      identity.bootsAre(self, seen.known() + 1);
      nonce = random.nextLong();
      answers.clear();
      askAt = 0;
      return;
    }
    answers.put(place, seen);
    consider();
  }

  private void consider() {
    switch (identity.stage()) {
      case FRESH -> fresh();
      case PLEDGED -> pledged();
      case FOUNDED -> founded();
      default -> lost();
    }
  }

  private boolean everyone() {
    return answers.size() == voters.count() - 1;
  }

  private void fresh() {
    for (Seen seen : answers.values()) {
      if (seen.stage() == Stage.FOUNDED && !seen.pledge().contains(identity.disk())) {
        host.told("this voter's disk was lost: it waits to be admitted again");
        identity.stageIs(Stage.LOST, List.of());
        return;
      }
    }
    if (!everyone()) {
      return;
    }
    List<Long> all =
        voters.names().stream()
            .map(
                name ->
                    name.equals(voters.self())
                        ? identity.disk()
                        : answers.get(voters.place(name)).stamp().disk())
            .toList();
    for (Seen seen : answers.values()) {
      boolean pledged = seen.stage() == Stage.PLEDGED || seen.stage() == Stage.FOUNDED;
      if (pledged
          && seen.pledge().size() == voters.count()
          && seen.pledge().get(self) == identity.disk()) {
        all = seen.pledge();
        break;
      }
      if (seen.stage() == Stage.LOST) {
        return;
      }
    }
    identity.stageIs(Stage.PLEDGED, all);
    askAnew();
  }

  private void pledged() {
    boolean same =
        everyone()
            && answers.values().stream()
                .allMatch(
                    seen ->
                        seen.stage() != Stage.FRESH
                            && seen.stage() != Stage.LOST
                            && seen.pledge().equals(identity.pledge()));
    if (same) {
      identity.stageIs(Stage.FOUNDED, identity.pledge());
      host.founded(identity.pledge());
      founded();
    }
  }

  private void askAnew() {
    nonce = random.nextLong();
    answers.clear();
    askAt = 0;
  }

  private void founded() {
    long version = -1;
    List<Long> members = List.of();
    long term = 0;
    long lastTerm = 0;
    long lastIndex = 0;
    int heard = 0;
    for (Map.Entry<Integer, Seen> each : answers.entrySet()) {
      Seen seen = each.getValue();
      // One that lost its disk is the one in doubt, as there is one at a time: so this one's disk
      // is in order.
      heard += seen.stage() == Stage.FRESH ? 0 : 1;
      if (seen.stage() == Stage.FOUNDED) {
        term = Math.max(term, seen.term());
        if (Log.reaches(seen.lastTerm(), seen.lastIndex(), lastTerm, lastIndex)) {
          lastTerm = seen.lastTerm();
          lastIndex = seen.lastIndex();
        }
        if (seen.version() > version && seen.members().size() == voters.count()) {
          version = seen.version();
          members = seen.members();
        }
      }
    }
    if (!members.isEmpty() && members.get(self) != identity.disk()) {
      host.told("another disk took this voter's place: it waits to be admitted again");
      identity.startOver(random);
      askAnew();
    } else if (heard >= voters.othersToReturn()) {
      back = true;
      long highest = term;
      long theirTerm = lastTerm;
      long theirIndex = lastIndex;
      disk.then(() -> host.returned(highest, theirTerm, theirIndex));
    }
  }

  /**
   * It goes on saying so until the log has it. Who votes it takes from the others, but not that it
   * does so itself: that the log has to say.
   */
  private void lost() {
    for (Seen seen : answers.values()) {
      if (seen.stage() == Stage.FOUNDED && seen.members().size() == voters.count()) {
        List<Long> members = new ArrayList<>(seen.members());
        members.set(self, 0L);
        host.founded(members);
      }
    }
    answers.clear();
  }

  /** The log admitted this disk. */
  void admitted(List<Long> members) {
    if (identity.stage() == Stage.LOST) {
      identity.stageIs(Stage.FOUNDED, members);
      back = true;
      disk.then(() -> host.returned(0, 0, 0));
    }
  }
}
