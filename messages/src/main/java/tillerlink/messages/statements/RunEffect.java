package tillerlink.messages.statements;

import tillerlink.messages.Numbered;

/** The effect of executing a statement a second time. */
public enum RunEffect implements Numbered {
  /** The statement changes nothing, however often it is executed. */
  PURE(0),
  /** The engine detects the second execution by its idempotency key. */
  RECEIPTED(1),
  /** The second execution would take effect again. */
  EFFECTFUL(2);

  private final int number;

  RunEffect(int number) {
    this.number = number;
  }

  @Override
  public int number() {
    return number;
  }
}
