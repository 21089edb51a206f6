package com.bertramlabs.plugins.hcl4j;

import com.bertramlabs.plugins.hcl4j.symbols.Symbol;
import java.io.IOException;
import java.io.Reader;
import java.util.List;

/**
 * Gives access to the symbols of hcl4j's lexer, with lines and columns. The parser of the library
 * drops these, and its lexer is visible in this package only.
 */
public final class Symbols {
  private Symbols() {}

  /**
   * Reads the top-level symbols of a file with those below them; lines and columns count from 0.
   *
   * @throws HCLParserException if the text is not HCL
   */
  public static List<Symbol> read(Reader in) throws IOException, HCLParserException {
    HCLLexer lexer = new HCLLexer(in);
    lexer.yylex();
    return lexer.elementStack;
  }
}
