package tillerlink.messages.statements;

import tillerlink.messages.Numbered;

/** The type of a statement parameter. */
public enum ParameterType implements Numbered {
  /** A string. */
  TEXT(0),
  /** An integer. */
  INTEGER(1),
  /** A decimal number. */
  DECIMAL(2),
  /** A boolean. */
  FLAG(3),
  /** A date without a time. */
  DAY(4);

  private final int number;

  ParameterType(int number) {
    this.number = number;
  }

  @Override
  public int number() {
    return number;
  }
}
