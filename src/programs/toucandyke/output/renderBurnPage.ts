/**
 * Writes the report on service-level burn as an HTML page with plots.
 */
import type { ClassBurn } from '../../../report/computeBurn.js';
import type { BurnReport } from './formatBurn.js';
import { formatRate } from './formatBurn.js';

const plotWidthPx = 720;
const plotHeightPx = 160;
/** Smallest burn rate that the top of a plot stands for. */
const minTopRate = 2;

/**
 * Writes the page.
 *
 * @param report - the burn of every class
 * @returns HTML that needs no other file
 */
export const renderBurnPage = ({ classes, unheard }: BurnReport): string => `<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:right}</style>
</head>
<body>
<h1>Service-level burn</h1>
${classes.map(renderClass).join('\n')}
${unheard.map((reason) => `<p>Not heard: ${escapeHtml(reason)}</p>`).join('\n')}
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
<p>Burn rate of each of the last ${burn.lastMinutes.length} minutes; the line is 1, grey is without jobs.</p>
${renderPlot(burn.lastMinutes)}
<p>Top causes: ${burn.topCauses.map(({ cause, count }) => `${cause} ${count}`).join(', ') || 'none'}.</p>`;

const renderPlot = (rates: readonly (number | null)[]): string => {
  const topRate = Math.max(minTopRate, ...rates.map((rate) => rate ?? 0));
  const barPx = plotWidthPx / rates.length;
  const heightOf = (rate: number): number => (rate / topRate) * plotHeightPx;
  const bars = rates.map((rate, i) => renderBar(i * barPx, barPx, rate, heightOf));
  const lineY = plotHeightPx - heightOf(1);
  return `<svg width="${plotWidthPx}" height="${plotHeightPx}" role="img">
${bars.join('\n')}
<line x1="0" x2="${plotWidthPx}" y1="${lineY}" y2="${lineY}" stroke="black"/>
</svg>`;
};

const renderBar = (
  x: number,
  widthPx: number,
  rate: number | null,
  heightOf: (rate: number) => number,
): string => {
  const height = rate === null ? plotHeightPx : heightOf(rate);
  const fill = rate === null ? '#eeeeee' : '#b03030';
  const y = plotHeightPx - height;
  return `<rect x="${x}" y="${y}" width="${widthPx - 1}" height="${height}" fill="${fill}"/>`;
};

const escapeHtml = (text: string): string =>
  text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
