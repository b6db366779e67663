/**
 * Renders the burn report as an HTML page with plots.
 */
import type { ClassBurn } from '../../../report/computeBurn.js';
import type { BurnReport } from './formatBurn.js';
import { formatRate } from './formatBurn.js';

const plotWidthPx = 720;
const plotHeightPx = 160;
/** The vertical axis of a plot reaches at least to this burn rate. */
const minAxisMaxRate = 2;

/**
 * Renders the page.
 *
 * @param report - the burn of every class
 * @returns a self-contained HTML document
 */
export const renderBurnPage = ({ classes, unheard }: BurnReport): string => `<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:right}</style>
</head>
<body>
<h1>Service-level burn</h1>
${classes.map(renderClass).join('\n')}
${unheard.map((reason) => `<p>No answer: ${escapeHtml(reason)}</p>`).join('\n')}
</body>
</html>
`;

const renderClass = (burn: ClassBurn): string => `<h2>${burn.class}, target ${burn.target}</h2>
<table>
<tr><th>window</th><th>jobs</th><th>bad</th><th>burn rate</th><th>missing minutes</th></tr>
${burn.windows
  .map(
    (w) =>
      `<tr><td>${w.window}</td><td>${w.total}</td><td>${w.bad}</td>` +
      `<td>${formatRate(w.burnRate)}</td><td>${w.missingMinutes}</td></tr>`,
  )
  .join('\n')}
</table>
<p>Burn rate of each of the last ${burn.lastMinutes.length} minutes; the line marks rate 1, grey marks minutes without jobs.</p>
${renderPlot(burn.lastMinutes)}
<p>Top causes: ${burn.topCauses.map(({ cause, count }) => `${cause} ${count}`).join(', ') || 'none'}.</p>`;

const renderPlot = (rates: readonly (number | null)[]): string => {
  const axisMaxRate = Math.max(minAxisMaxRate, ...rates.map((rate) => rate ?? 0));
  const barPx = plotWidthPx / rates.length;
  const toHeightPx = (rate: number): number => (rate / axisMaxRate) * plotHeightPx;
  const bars = rates.map((rate, i) => renderBar(i * barPx, barPx, rate, toHeightPx));
  const lineY = plotHeightPx - toHeightPx(1);
  return `<svg width="${plotWidthPx}" height="${plotHeightPx}" role="img">
${bars.join('\n')}
<line x1="0" x2="${plotWidthPx}" y1="${lineY}" y2="${lineY}" stroke="black"/>
</svg>`;
};

const renderBar = (
  x: number,
  widthPx: number,
  rate: number | null,
  toHeightPx: (rate: number) => number,
): string => {
  const height = rate === null ? plotHeightPx : toHeightPx(rate);
  const fill = rate === null ? '#eeeeee' : '#b03030';
  const y = plotHeightPx - height;
  return `<rect x="${x}" y="${y}" width="${widthPx - 1}" height="${height}" fill="${fill}"/>`;
};

const escapeHtml = (text: string): string =>
  text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
