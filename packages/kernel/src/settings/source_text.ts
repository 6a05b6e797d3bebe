import {parse} from 'ini';
import type {Header} from './header.js';

const HEADER_LINE = /^\s*\[([^\]]+)\]\s*$/;
const KEY_LINE = /^\s*([^=;#[]+?)\s*=/;

/** An INI file as text, with the line numbers that messages point to. */
export class SourceText {
  private readonly parsed: Record<string, Record<string, unknown>>;
  private readonly lines: readonly string[];

  constructor(
    private readonly file: string,
    text: string,
  ) {
    this.parsed = parse(text) as Record<string, Record<string, unknown>>;
    this.lines = text.split('\n');
  }

  headers(): Header[] {
    return Object.keys(this.parsed).map(toHeader);
  }

  valuesOf(header: Header): Record<string, unknown> {
    const values = this.parsed[headerText(header)];
    return values === undefined ? {} : {...values};
  }

  /** Says where a fault is: file, line where known, section and key. */
  describe(header: Header, key: string | undefined, text: string): string {
    const line = this.lineOf(header, key);
    const place = line === undefined ? this.file : `${this.file}:${line}`;
    return `${place}: [${headerText(header)}]${key ? ` ${key}` : ''} ${text}`;
  }

  private lineOf(header: Header, key: string | undefined): number | undefined {
    let inside = false;
    let headerLine: number | undefined;
    for (const [index, line] of this.lines.entries()) {
      const start = HEADER_LINE.exec(line);
      if (start) {
        inside = start[1] === headerText(header);
        if (inside) headerLine = index + 1;
        continue;
      }
      if (inside && key !== undefined && KEY_LINE.exec(line)?.[1] === key)
        return index + 1;
    }
    return headerLine;
  }
}

function toHeader(text: string): Header {
  const [kind, ...rest] = text.split(' ');
  return {kind, name: rest.join(' ')};
}

function headerText(header: Header): string {
  return header.name === '' ? header.kind : `${header.kind} ${header.name}`;
}
